/** Defines the header fields of a request or a response. */

/** Values by lower-case name; a field that was received more than once and can't be joined is a list. */
export type HttpHeaders = Record<string, string | string[] | undefined>;
