/** Defines how the frame of a request or a response carries its body. */

/** The whole body, undefined if there is none, or `follows` if the body is sent in frames of its own. */
export type WireBody = Buffer | undefined | "follows";
