/** Defines a peer's request, as the listener handles it. */
import type { Readable } from "node:stream";
import type { WireCall } from "./wirecall.js";

/** A request whose body is buffered, or a stream that fails if the body breaks off. */
export type ServedCall = Omit<WireCall, "body"> & {
    readonly body: Buffer | Readable | undefined;
    /** Set if the peer keeps the body, of `bodySize` bytes or a stream, until it is asked for it by this call. */
    readonly fetchBody?: (() => Promise<Buffer | Readable>) | undefined;
    readonly bodySize?: number | undefined;
    /**
     * Asks the peer whether the caller is still there; resolves with the answer, or after `timeoutMs` milliseconds. Where
     * the caller has left, the request is cancelled by then. Undefined if the peer can't be asked.
     */
    readonly checkCaller?: ((timeoutMs: number) => Promise<void>) | undefined;
};
