/** What an operator may call a thing: a host name's letters, 63 at the most (RFC 1123). */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/;
