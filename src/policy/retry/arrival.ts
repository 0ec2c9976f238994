/**
 * What is an attempt to its service: the first arrival of its request there, or one more, and what caused it?
 *
 * `first`: no attempt before it can have reached an upstream. `retry`: one before it may have. `hedge`: another is under way.
 * `call`: a first attempt of a call that an upstream makes in a run that was itself not the first.
 */
export type Arrival = "first" | "retry" | "hedge" | "call";
