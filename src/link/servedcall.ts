/** A peer's request with its body. */
import type { Readable } from "node:stream";
import type { WireCall } from "./wirecall.js";

/** The body is at hand, or a stream that fails when it breaks off. */
export type ServedCall = Omit<WireCall, "body"> & { readonly body: Buffer | Readable | undefined; };
