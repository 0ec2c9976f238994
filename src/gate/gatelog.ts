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
            ...this.#timeFields(request),
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
            ...this.#timeFields(request),
            ...this.#loadFields(report),
        });
    }

    #requestId(request: GateRequest): string {
        return this.dialect.idOf(request.call.headers, request.call.head.id);
    }

    /**
     * Returns the milliseconds from the start of the run until its connection was established and it was written, from
     * the sending of the request until it was read, by the sender's estimate of this daemon's clock, and from then until
     * it was cancelled.
     */
    #timeFields({ arrivedAt, startedAt, connectedAt, writtenAt, cancelledAt, call }: GateRequest): object {
        const between = (from: number | undefined, to: number | undefined): number | undefined =>
            from === undefined || to === undefined ? undefined : Math.round(to - from);
        return {
            connectedAfterMs: between(startedAt, connectedAt),
            writtenAfterMs: between(startedAt, writtenAt),
            delayMs: between(call.head.gateTime, arrivedAt),
            cancelledAfterMs: between(arrivedAt, cancelledAt),
        };
    }

    #loadFields({ running, waiting, limit, serviceMs, pace }: LoadReport): object {
        return { upstream: this.upstream, running, waiting, limit, serviceMs: Math.round(serviceMs), pace };
    }
}
