/** What is held of a request by the crashes of upstreams under it. */

/** `suspect`: it may be the cause, and winglock itself does not send it again; `quarantined`: it is not run. */
export type Standing = "free" | "suspect" | "quarantined";
