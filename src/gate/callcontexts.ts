/** Ties the calls that a local upstream makes to the request that it makes them for. */
import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 12;

/** `deadline` is on the daemon's clock; `calls` is set by the first call made for it, `retriedBelow` when one has failed. */
type Context = {
    readonly token: string;
    readonly requestId: string;
    readonly deadline: number;
    readonly depth: number;
    calls: boolean;
    retriedBelow: boolean;
};

/** Open contexts by token; a token can't be guessed, so a caller can't set its own depth or time. */
export class Contexts {
    readonly #open = new Map<string, Context>();
    readonly #byRequest = new Map<string, Context>();

    /** `requestId` is the id by which the upstream knows the request. */
    open(requestId: string, deadline: number, depth: number): Context {
        const token = randomBytes(TOKEN_BYTES).toString("base64url");
        const context = { token, requestId, deadline, depth, calls: false, retriedBelow: false };
        this.#open.set(token, context);
        this.#byRequest.set(requestId, context);
        return context;
    }

    /** The context of the request with this id, while it runs. */
    ofRequest(requestId: string | undefined): Context | undefined {
        return requestId === undefined ? undefined : this.#byRequest.get(requestId);
    }

    find(token: string | undefined): Context | undefined {
        return token === undefined ? undefined : this.#open.get(token);
    }

    close(context: Context): void {
        this.#open.delete(context.token);
        if (this.#byRequest.get(context.requestId) === context) {
            this.#byRequest.delete(context.requestId);
        }
    }
}
