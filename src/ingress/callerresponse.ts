/** Sends the one response that a caller gets: an upstream's, or a problem of winglock's own. */
import type { ServerResponse } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import type { GateResponse } from "../hop/gateresponse.js";
import type { ProblemType } from "../policy/retry/problemtype.js";
import type { CallerConnection } from "./callerconnection.js";
import type { CallerPresence } from "./callerpresence.js";
import { deliver } from "./deliver.js";
import type { Plan } from "./plan.js";
import { ResponseTurn } from "./responseturn.js";
import { sendProblem } from "./sendproblem.js";

/** Owns the response object of one request. */
export class CallerResponse {
    readonly #turn: ResponseTurn;

    constructor(
        private readonly res: ServerResponse,
        private readonly connection: CallerConnection,
        private readonly dialect: Dialect,
        private readonly headOnly: boolean,
    ) {
        this.#turn = new ResponseTurn(res, connection);
        res.on("error", () => {
            // The caller's connection failed. The request handler acts on the `close` event that follows.
        });
    }

    /** True if the caller left before its response was complete. */
    get hasCallerLeft(): boolean {
        return this.res.destroyed && !this.res.writableFinished;
    }

    /** Whether the caller is still there. */
    get presence(): CallerPresence {
        return this.connection.presence;
    }

    /** True if a complete response waits for the responses before it on its connection. */
    get isHeld(): boolean {
        return this.#turn.isHeld;
    }

    /** The number of requests that wait behind this one on its connection. */
    get requestsBehind(): number {
        return this.connection.behind(this.res);
    }

    /** Closes the connection after this response, if no request behind it has been accepted. */
    closeConnectionAfter(): void {
        this.connection.closeAfter(this.res);
    }

    /** Ends the caller's connection. */
    destroy(): void {
        this.res.destroy();
    }

    /** Calls the listener when the caller has left or has received its response; returns a function that removes it. */
    onClose(listener: () => void): () => void {
        this.res.on("close", listener);
        return () => this.res.removeListener("close", listener);
    }

    /** Sends an upstream's response; rejects only if nothing has been sent yet. */
    deliver(response: GateResponse, { rule, service }: Plan): Promise<void> {
        return deliver(this.res, response, {
            isBuffered: rule.answer === "whole",
            headOnly: this.headOnly,
            bufferBytes: service.bufferBytes,
            turn: this.#turn,
        });
    }

    /** Sends a problem, unless a response has begun. */
    sendProblem(type: ProblemType, details: Parameters<typeof sendProblem>[3]): void {
        if (!this.isHeld) {
            sendProblem(this.res, { dialect: this.dialect, turn: this.#turn }, type, details);
        }
    }
}
