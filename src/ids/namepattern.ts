/** Defines the names that operators may choose: up to 63 characters, those of a host name (RFC 1123). */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/;
