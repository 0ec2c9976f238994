/** What is held of a request by the ends of upstreams under it. */

/** `suspect`: it may be what ends them, and winglock itself does not send it again; `refused`: it is not run. */
export type Standing = "free" | "suspect" | "refused";
