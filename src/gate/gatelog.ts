/** Writes the gate's log lines about requests. The ingress's lines about the same request have the same id. */
import type { Dialect } from "../dialect/dialect.js";
import { HopError } from "../hop/hoperror.js";
import { log } from "../log/log.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { GateRequest } from "./gaterequest.js";

const logger = log("gate");

/** Writes one log line for each request that the upstream responded to or that failed at the gate. */
export class GateLog {
    constructor(private readonly upstream: string, private readonly dialect: Dialect) {}

    logResponse(request: GateRequest, status: number, queuedMs: number, tookMs: number, report: LoadReport): void {
        logger.decision(this.#requestId(request), "The upstream responded.", {
            try: request.call.head.id,
            status,
            arrival: request.call.head.arrival,
            waitedMs: Math.round(queuedMs),
            tookMs: Math.round(tookMs),
            ...this.#sendFields(request),
            ...this.#loadFields(report),
        });
    }

    logFailure(request: GateRequest, err: unknown, report: LoadReport): void {
        const { outcome, reason, metadata } = err instanceof HopError
            ? err
            : { outcome: "unknown", reason: String(err), metadata: undefined };
        logger.failure(this.#requestId(request), "The gate did not serve the request.", {
            try: request.call.head.id,
            outcome,
            reason,
            choices: request.choices,
            arrival: request.call.head.arrival,
            arrived: metadata?.arrived ?? false,
            request: request.key,
            ...this.#sendFields(request),
            ...this.#loadFields(report),
        });
    }

    #requestId(request: GateRequest): string {
        return this.dialect.idOf(request.call.headers, request.call.head.id);
    }

    /** Returns the milliseconds from the start of the run until its connection was established and it was written. */
    #sendFields({ startedAt, connectedAt, writtenAt }: GateRequest): object {
        const sinceStart = (time: number | undefined): number | undefined =>
            startedAt === undefined || time === undefined ? undefined : Math.round(time - startedAt);
        return { connectedAfterMs: sinceStart(connectedAt), writtenAfterMs: sinceStart(writtenAt) };
    }

    #loadFields({ running, waiting, limit, serviceMs, pace }: LoadReport): object {
        return { upstream: this.upstream, running, waiting, limit, serviceMs: Math.round(serviceMs), pace };
    }
}
