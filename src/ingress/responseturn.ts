/**
 * Holds a response until all responses before it on its connection are complete.
 *
 * A response has a socket only while it is the first one. Until then nothing of it is written, so that it can still be
 * decided whether it closes the connection.
 */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerConnection } from "./callerconnection.js";

/** The turn of one response. */
export class ResponseTurn {
    #isHeld = false;

    constructor(private readonly res: ServerResponse, private readonly connection: CallerConnection) {}

    /** True if a response that is to be written later was passed to `whenFirst`. */
    get isHeld(): boolean {
        return this.#isHeld;
    }

    /** True if the response is the first one of its connection, or its connection has ended. */
    get isFirst(): boolean {
        return this.res.socket !== null || this.res.destroyed;
    }

    /** True if the response may end by closing its connection: no request behind it has been accepted. */
    get mayClose(): boolean {
        return this.connection.isLast(this.res);
    }

    /** Resolves when the response is the first one, or when the connection has ended. */
    async waitUntilFirst(): Promise<void> {
        if (!this.isFirst) {
            const ended = new AbortController();
            const { signal } = ended;
            await Promise.race([once(this.res, "socket", { signal }), once(this.res, "close", { signal })])
                .finally(() => ended.abort());
        }
    }

    /** Writes the response now if it is the first one, otherwise later. `write` must not throw if it is called later. */
    whenFirst(write: () => void): void {
        if (this.isFirst) {
            this.begin();
            write();
            return;
        }
        this.#isHeld = true;
        this.res.once("socket", () => {
            this.begin();
            write();
        });
    }

    /** Must be called immediately before the response is written. */
    begin(): void {
        this.connection.prepareResponse(this.res);
    }
}
