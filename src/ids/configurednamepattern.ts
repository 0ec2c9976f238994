/**
 * Defines the names that a stored configuration gives to its parts: printable ASCII, as in a header field, without a
 * blank at either end.
 */
export const configuredNamePattern = /^[!-~](?:[ -~]{0,251}[!-~])?$/;
