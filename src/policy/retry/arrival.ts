/**
 * Distinguishes the first arrival of a request at a service from repeats, by their cause.
 *
 * `first`: no earlier attempt can have reached an upstream.
 * `retry`: an earlier attempt may have reached an upstream.
 * `hedge`: another attempt is still in progress.
 * `call`: the first attempt of a call that an upstream makes while it runs a request that was itself a repeat.
 */
export type Arrival = "first" | "retry" | "hedge" | "call";
