/** Calls something again and again. */

/** Owns one timer; `everyMs` is in milliseconds. */
export class Ticker {
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly everyMs: number, private readonly act: () => void) {}

    start(): void {
        this.stop();
        this.#timer = setInterval(this.act, this.everyMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }
}
