/** Writes problem JSON (RFC 9457). */
import type { ServerResponse } from "node:http";
import type { Vocabulary } from "../dialect/vocabulary.js";
import { problems } from "./problems.js";
import type { ProblemType } from "./problemtype.js";

/** What the caller is told: `not-run` is proven. */
type Told = {
    readonly outcome: "not-run" | "unknown";
    readonly detail: string;
    readonly retryAfterMs?: number;
};

/** Answers the caller at once; does nothing when an answer has begun or the caller has left. */
export function sendProblem(res: ServerResponse, vocabulary: Vocabulary, type: ProblemType, told: Told): void {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const { status, title } = problems[type];
    const { outcome, detail, retryAfterMs } = told;
    const body = JSON.stringify({ type: `urn:winglock:problem:${type}`, title, status, detail, outcome });
    if (retryAfterMs !== undefined) {
        res.setHeader("retry-after", vocabulary.retryAfter(retryAfterMs));
    }
    res.setHeader("content-type", "application/problem+json");
    res.setHeader("content-length", Buffer.byteLength(body));
    res.setHeader(vocabulary.outcome, outcome);
    res.writeHead(status);
    res.end(body);
}
