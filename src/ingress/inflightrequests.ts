/** Counts the requests whose responses are not yet written to their sockets. */
import type { ServerResponse } from "node:http";

/** `end` must be called once for each `begin`. */
export class InFlightRequests {
    #count = 0;

    get count(): number {
        return this.#count;
    }

    begin(): void {
        this.#count += 1;
    }

    /** A response is in flight until all of it was written to the socket, or its caller has left. */
    end(res: ServerResponse): void {
        if (res.destroyed) {
            this.#count -= 1;
        }
        else {
            res.once("close", () => this.#count -= 1);
        }
    }
}
