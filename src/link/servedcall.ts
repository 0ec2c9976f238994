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
     * Resolves when the peer has stated that the caller is still there, or after `timeoutMs` milliseconds; cancels the
     * request otherwise. Undefined if the peer can't be asked.
     */
    readonly checkCaller?: ((timeoutMs: number) => Promise<void>) | undefined;
};
