/** Defines the result of a peer's request: a response, or a refusal that consists of its metadata. */
import type { Readable } from "node:stream";
import type { WireResponse } from "./wireresponse.js";

/** A response whose body is buffered or a stream; the session adds whether it is the connection's last one. */
export type ServedResponse = Omit<WireResponse, "body" | "last"> & { readonly body: Buffer | Readable | undefined; };
