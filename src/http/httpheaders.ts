/** Header fields of a request or an answer. */

/** Lower-case names; a field that came more than once and may not be joined is a list. */
export type HttpHeaders = Record<string, string | string[] | undefined>;
