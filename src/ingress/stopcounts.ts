/**
 * Counts what becomes of the requests that are in flight when a planned stop begins, or arrive during it.
 *
 * Each accepted request ends in exactly one way, so a record of a stop shows whether any request is unaccounted for.
 */

/**
 * - `answered`: the whole response was written to the socket.
 * - `unanswered`: the caller left, or the response broke off.
 * - `cut`: the daemon closed the connection while the request was in flight.
 */
type RequestEnd = "answered" | "unanswered" | "cut";

/** Owned by the ingress; created when the stop begins. */
export class StopCounts {
    #accepted: number;
    #dropped = 0;
    #unsentBytes = 0;
    readonly #ends: Record<RequestEnd, number> = { answered: 0, unanswered: 0, cut: 0 };

    /** `inFlight` is the number of requests that were accepted before and have not ended. */
    constructor(inFlight: number) {
        this.#accepted = inFlight;
    }

    recordAccepted(): void {
        this.#accepted += 1;
    }

    /** Records a request that was parsed but not accepted, since it arrived behind the last one of its connection. */
    recordDropped(): void {
        this.#dropped += 1;
    }

    recordEnd(end: RequestEnd): void {
        this.#ends[end] += 1;
    }

    /** Records bytes of responses that were still buffered in the process when their connections were closed. */
    recordUnsent(bytes: number): void {
        this.#unsentBytes += bytes;
    }

    /** Returns the fields of a log line. */
    summary(): object {
        return { accepted: this.#accepted, ...this.#ends, dropped: this.#dropped, unsentBytes: this.#unsentBytes };
    }
}
