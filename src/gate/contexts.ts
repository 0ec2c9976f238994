/** Ties the calls that a local upstream makes to the request that it makes them for. */
import { randomBytes } from "node:crypto";

const TOKEN_BYTES = 12;

/** `deadline` is on the daemon's clock; `retriedBelow` is set when a call made for the request has failed. */
type Context = {
    readonly token: string;
    readonly deadline: number;
    readonly depth: number;
    retriedBelow: boolean;
};

/** Open contexts by token; a token can't be guessed, so a caller can't set its own depth or time. */
export class Contexts {
    readonly #open = new Map<string, Context>();

    open(deadline: number, depth: number): Context {
        const token = randomBytes(TOKEN_BYTES).toString("base64url");
        const context = { token, deadline, depth, retriedBelow: false };
        this.#open.set(token, context);
        return context;
    }

    find(token: string | undefined): Context | undefined {
        return token === undefined ? undefined : this.#open.get(token);
    }

    close(context: Context): void {
        this.#open.delete(context.token);
    }
}
