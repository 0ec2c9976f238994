/**
 * Decides which requests were in progress when an upstream crashed.
 *
 * The inputs are runs of requests that ended without a response, and when. Requests count as in progress if they were
 * interrupted shortly before the crash was found, or cancelled then, because the upstream may still have worked on
 * them. An interrupted run proves no crash by itself: a connection can be reset, and a full upstream may close it. A
 * response to a request that was sent later proves that the upstream had not crashed.
 */
import type { RequestKey } from "../../ids/requestkey.js";

/**
 * A crash closes all connections of the upstream at once, and a probe finds within milliseconds that the upstream is
 * gone; a daemon that is short of processor time may be a second late.
 */
const INTERRUPTED_WINDOW_MS = 2000;
/** Upstreams stop the work on a cancelled request within a few network round trips. */
const CANCELLED_WINDOW_MS = 500;
/** More than an upstream has in progress at a time; bounds the memory that a faulty upstream can occupy. */
const MAX_RUNS = 256;

/** A run that ended without a response: interrupted by its connection, or cancelled. */
type InterruptedRun = { readonly request: RequestKey; readonly endedAt: number; readonly cancelled: boolean; };

/** Holds the recently interrupted runs of one upstream; times are milliseconds on the daemon's clock. */
export class InterruptedRuns {
    #runs: InterruptedRun[] = [];

    /** Records a run that was interrupted, or cancelled. */
    record(request: RequestKey, cancelled: boolean, now: number): void {
        this.#runs = [...this.#recent(now).slice(1 - MAX_RUNS), { request, endedAt: now, cancelled }];
    }

    /** Records a response to a request sent at `sentAt`; runs that ended earlier were not ended by a crash. */
    recordResponse(sentAt: number): void {
        this.#runs = this.#runs.filter(({ endedAt }) => endedAt > sentAt);
    }

    /** Returns the requests that were in progress at a crash found at `now`, and removes them. */
    takeInProgress(now: number): RequestKey[] {
        const requests = this.#recent(now).map(({ request }) => request);
        this.#runs = [];
        return [...new Set(requests)];
    }

    #recent(now: number): InterruptedRun[] {
        return this.#runs.filter(({ endedAt, cancelled }) =>
            now - endedAt <= (cancelled ? CANCELLED_WINDOW_MS : INTERRUPTED_WINDOW_MS)
        );
    }
}
