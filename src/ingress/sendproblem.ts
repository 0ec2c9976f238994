/** Sends a problem document (RFC 9457) to a caller. */
import type { ServerResponse } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import { httpStatus } from "../http/httpstatus.js";
import type { ProblemType } from "../policy/retry/problemtype.js";
import { problems } from "./problems.js";
import type { ResponseTurn } from "./responseturn.js";

type ProblemContext = { readonly dialect: Dialect; readonly turn: ResponseTurn; };

/** `not-run`: no upstream has run the request, which is proven; `retryAfterMs` is in milliseconds. */
type ProblemDetails = {
    readonly outcome: "not-run" | "unknown";
    readonly detail: string;
    readonly retryAfterMs?: number;
};

/** Responds with a problem when it is its turn; does nothing if a response has begun or the caller has left. */
export function sendProblem(
    res: ServerResponse,
    { dialect, turn }: ProblemContext,
    type: ProblemType,
    details: ProblemDetails,
): void {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const { status, title } = problems[type];
    const { outcome, detail, retryAfterMs } = details;
    const body = JSON.stringify({ type: `urn:winglock:problem:${type}`, title, status, detail, outcome });
    if (status === httpStatus.unauthorized) {
        res.setHeader("www-authenticate", `ApiKey header="${dialect.key}"`);
    }
    if (retryAfterMs !== undefined) {
        res.setHeader("retry-after", dialect.retryAfter(retryAfterMs));
    }
    res.setHeader("content-type", "application/problem+json");
    res.setHeader("content-length", Buffer.byteLength(body));
    res.setHeader(dialect.outcome, outcome);
    res.statusCode = status;
    turn.whenFirst(() => res.end(body));
}
