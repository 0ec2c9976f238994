/** Observes the response to a call between daemons while it is received. */

/** Updated during the call, so that it also tells what was received of a response that did not end. */
export class Transfer {
    #bytes = 0;

    /** `onResponse` is called when the head of the response has been received. */
    constructor(private readonly onResponse: () => void = () => {}) {}

    /** Bytes of the body that have been received, as they are sent over the connection. */
    get bytes(): number {
        return this.#bytes;
    }

    recordResponse(): void {
        this.onResponse();
    }

    recordBytes(count: number): void {
        this.#bytes += count;
    }
}
