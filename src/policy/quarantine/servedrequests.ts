/**
 * Which requests has this life of an upstream served well?
 *
 * They do not crash it: what is asked often is under way at many upstreams when a rack loses power, and is no cause of that. A new life of
 * an upstream may be of another release, and begins with none.
 */
import type { RequestKey } from "../../ids/requestkey.js";

/** Those served last; some 200 KB at the most. What is asked often enough to be under way at three crashes at once is among them. */
const MAX_REQUESTS = 2048;

/** Of one life of one upstream. */
export class ServedRequests {
    readonly #served = new Set<RequestKey>();

    add(request: RequestKey): void {
        this.#served.delete(request);
        this.#served.add(request);
        if (this.#served.size > MAX_REQUESTS) {
            this.#served.delete(this.#served.values().next().value!);
        }
    }

    has(request: RequestKey): boolean {
        return this.#served.has(request);
    }
}
