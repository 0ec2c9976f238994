/** Defines the rejection of a stored document, as daemons report it to one another and to operators. */

/** `fields` has a line for each invalid field. `ageMs` is the time for which the stored document has been rejected. */
export type Rejection = { readonly fields: readonly string[]; readonly ageMs: number; };
