/** Sends the one response that a caller gets: an upstream's, or a problem of winglock's own. */
import type { ServerResponse } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import type { GateResponse } from "../hop/gateresponse.js";
import type { ProblemType } from "../policy/retry/problemtype.js";
import { deliver } from "./deliver.js";
import type { Plan } from "./plan.js";
import { sendProblem } from "./sendproblem.js";

/** Owns the response object of one request. */
export class CallerResponse {
    constructor(
        private readonly res: ServerResponse,
        private readonly dialect: Dialect,
        private readonly headOnly: boolean,
    ) {
        res.on("error", () => {
            // The caller's connection failed. The request handler acts on the `close` event that follows.
        });
    }

    /** True if the caller left before its response was complete. */
    get hasCallerLeft(): boolean {
        return this.res.destroyed && !this.res.writableFinished;
    }

    /** Calls the listener when the caller has left or has received its response; returns a function that removes it. */
    onClose(listener: () => void): () => void {
        this.res.on("close", listener);
        return () => this.res.removeListener("close", listener);
    }

    /** Sends an upstream's response; rejects only if nothing has been sent yet. */
    deliver(response: GateResponse, { rule, service }: Plan): Promise<void> {
        return deliver(this.res, response, rule.answer === "whole", this.headOnly, service.bufferBytes);
    }

    /** Sends a problem, unless a response has begun. */
    sendProblem(type: ProblemType, details: Parameters<typeof sendProblem>[3]): void {
        sendProblem(this.res, this.dialect, type, details);
    }
}
