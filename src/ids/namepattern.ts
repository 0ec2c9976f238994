/** Defines the names that operators may choose: printable ASCII, as in a header field, without a blank at either end. */
export const namePattern = /^[!-~](?:[ -~]{0,251}[!-~])?$/;
