/** Lists the requests of one connection that were accepted and not answered, in the order of their responses. */
import type { ServerResponse } from "node:http";
import type { ParsedRequest } from "./parsedrequest.js";

/** Finds a request by its response. */
export class AcceptedRequests {
    readonly #requests: ParsedRequest[] = [];

    get count(): number {
        return this.#requests.length;
    }

    /** The request whose response is sent first. */
    get first(): ParsedRequest | undefined {
        return this.#requests[0];
    }

    get last(): ParsedRequest | undefined {
        return this.#requests.at(-1);
    }

    add(request: ParsedRequest): void {
        this.#requests.push(request);
    }

    /** Returns the number of requests behind the given one, or undefined if that is not in the list. */
    behind(res: ServerResponse): number | undefined {
        const index = this.#indexOf(res);
        return index < 0 ? undefined : this.#requests.length - 1 - index;
    }

    /** Removes and returns a request, or returns undefined if it is not in the list. */
    remove(res: ServerResponse): ParsedRequest | undefined {
        const index = this.#indexOf(res);
        return index < 0 ? undefined : this.#requests.splice(index, 1)[0];
    }

    /** Removes and returns all requests. */
    removeAll(): ParsedRequest[] {
        return this.#requests.splice(0);
    }

    #indexOf(res: ServerResponse): number {
        return this.#requests.findIndex(request => request.res === res);
    }
}
