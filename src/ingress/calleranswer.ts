/** The one answer that a caller gets: an upstream's, or a problem that winglock tells. */
import type { ServerResponse } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { ProblemType } from "../policy/retry/problemtype.js";
import { deliver } from "./deliver.js";
import type { Plan } from "./plan.js";
import { sendProblem } from "./sendproblem.js";

/** Owns the response. */
export class CallerAnswer {
    constructor(
        private readonly res: ServerResponse,
        private readonly dialect: Dialect,
        private readonly headOnly: boolean,
    ) {
        res.on("error", () => {
            // The caller's connection failed: `close` follows, and is what the request's handler acts on.
        });
    }

    /** True when the caller did not wait for its answer. */
    get isGone(): boolean {
        return this.res.destroyed && !this.res.writableFinished;
    }

    /** Calls the listener when the caller has gone, or has its answer; the return value takes it back. */
    onClose(listener: () => void): () => void {
        this.res.on("close", listener);
        return () => this.res.removeListener("close", listener);
    }

    /** Sends an upstream's answer; rejects only while nothing has been sent. */
    deliver(answer: GateAnswer, { rule, service }: Plan): Promise<void> {
        return deliver(this.res, answer, rule.answer === "whole", this.headOnly, service.bufferBytes);
    }

    /** Tells a problem, unless an answer has begun. */
    tell(type: ProblemType, told: Parameters<typeof sendProblem>[3]): void {
        sendProblem(this.res, this.dialect, type, told);
    }
}
