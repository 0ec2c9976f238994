/**
 * Checks a request immediately before it is written to the upstream.
 *
 * Since its slot was granted, the request may have waited for its connection, and the process may not have run.
 */
import { Readable } from "node:stream";
import type { Clock } from "../time/clock.js";
import type { GateRequest } from "./gaterequest.js";
import { UpstreamError } from "./upstreamerror.js";

/** The check of one request; `check` is called for each time that it would be written. */
export class WriteCheck {
    #pendingCancel: Promise<void> | undefined;

    constructor(private readonly request: GateRequest, private readonly clock: Clock) {}

    /**
     * Returns the error with which the request fails instead of being written; undefined if it may be written. After a
     * pause of the process, sockets are handled before the timer of the deadline. The caller has had a response by then,
     * or has left; a request that may run only once is not written either.
     */
    check(): UpstreamError | undefined {
        const { request } = this;
        const { cancel, body, settleCancel } = request.call;
        const now = this.clock();
        if (now >= request.deadline) {
            return new UpstreamError("deadline-or-revoked");
        }
        if (cancel.aborted) {
            return new UpstreamError("caller-left");
        }
        // A streamed body can't be sent by another write.
        this.#pendingCancel = body instanceof Readable ? undefined : settleCancel?.(now);
        if (this.#pendingCancel !== undefined) {
            return new UpstreamError("caller-left");
        }
        request.writtenAt = now;
        return undefined;
    }

    /**
     * Calls `write`, which calls `check`, and calls it again when it is known whether the request was cancelled during a
     * stall of the process that ended immediately before the write.
     */
    async run<T>(write: () => Promise<T>): Promise<T> {
        for (;;) {
            try {
                return await write();
            }
            catch (err) {
                const pendingCancel = this.#takePendingCancel();
                if (pendingCancel === undefined) {
                    throw err;
                }
                await pendingCancel;
            }
        }
    }

    #takePendingCancel(): Promise<void> | undefined {
        const pendingCancel = this.#pendingCancel;
        this.#pendingCancel = undefined;
        return pendingCancel;
    }
}
