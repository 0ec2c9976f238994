/** A peer's request with its body. */
import type { Readable } from "node:stream";
import type { WireCall } from "./wirecall.js";

export type ServedCall = Omit<WireCall, "body"> & { readonly body: Buffer | Readable | undefined; };
