/** How a body goes with a frame. */

/** The whole body, nothing for none, or `follows` when it comes in frames of its own. */
export type WireBody = Buffer | undefined | "follows";
