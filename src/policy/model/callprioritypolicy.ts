/** In which class does a call of a model wait? */

/** Its own rule's, its request's, or the one above its request's, for the work already done. */
export type CallPriorityPolicy = "own" | "inherited" | "raised";
