/** Defines a request that Node's HTTP server has parsed. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * The body may still be arriving. `arrivedAt`, the time at which the request was read, is in milliseconds on the daemon's
 * clock, `bytes` an estimate.
 */
export type ParsedRequest = {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly arrivedAt: number;
    /** The longest time for which the request can have been unread when it was read, in milliseconds. */
    readonly maxUnreadMs: number;
    /** The memory that the request takes until it is answered, without its body. */
    readonly bytes: number;
};
