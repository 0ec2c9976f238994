/** Limits the time of one call to a store. */

/** Longest time for the transfer of a response after the time limit of its call. */
const MAX_TRANSFER_MS = 10_000;

/**
 * Aborts a call without a response in time. While the response is being received, the limit applies to the time without
 * data: a large document takes longer over a slow link. Times are in milliseconds.
 */
export class CallTimeLimit {
    readonly #total: NodeJS.Timeout;
    #silence: NodeJS.Timeout;

    /** `limitMs` applies to the first data, `silenceMs` to all later data. */
    constructor(private readonly abort: () => void, limitMs: number, private readonly silenceMs: number) {
        this.#total = setTimeout(abort, limitMs + MAX_TRANSFER_MS);
        this.#silence = setTimeout(abort, limitMs);
    }

    /** Records that a part of the response has been received. */
    recordData(): void {
        clearTimeout(this.#silence);
        this.#silence = setTimeout(this.abort, this.silenceMs);
    }

    end(): void {
        clearTimeout(this.#total);
        clearTimeout(this.#silence);
    }
}
