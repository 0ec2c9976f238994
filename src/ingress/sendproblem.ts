/** Writes problem JSON (RFC 9457). */
import type { ServerResponse } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import type { ProblemType } from "../policy/retry/problemtype.js";
import { problems } from "./problems.js";

/** What the caller is told: `not-run` is proven. */
type Told = {
    readonly outcome: "not-run" | "unknown";
    readonly detail: string;
    readonly retryAfterMs?: number;
};

/** Answers the caller at once; does nothing when an answer has begun or the caller has left. */
export function sendProblem(res: ServerResponse, dialect: Dialect, type: ProblemType, told: Told): void {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const { status, title } = problems[type];
    const { outcome, detail, retryAfterMs } = told;
    const body = JSON.stringify({ type: `urn:winglock:problem:${type}`, title, status, detail, outcome });
    if (retryAfterMs !== undefined) {
        res.setHeader("retry-after", dialect.retryAfter(retryAfterMs));
    }
    res.setHeader("content-type", "application/problem+json");
    res.setHeader("content-length", Buffer.byteLength(body));
    res.setHeader(dialect.outcome, outcome);
    res.writeHead(status);
    res.end(body);
}
