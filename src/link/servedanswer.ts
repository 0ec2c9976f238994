/** The result of a peer's request: an answer with its body, or a refusal by its note. */
import type { Readable } from "node:stream";
import type { WireAnswer } from "./wireanswer.js";

/** The body is at hand or a stream; whether the connection ends is the listener's to say. */
export type ServedAnswer = Omit<WireAnswer, "body" | "last"> & { readonly body: Buffer | Readable | undefined; };
