/** What a gate logs of requests; the same id stands in the ingress's lines. */
import type { Vocabulary } from "../dialect/vocabulary.js";
import { HopError } from "../hop/hoperror.js";
import { log } from "../log/log.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { Ticket } from "./ticket.js";

const logger = log("gate");

/** One line for each call. */
export class GateLog {
    constructor(private readonly upstream: string, private readonly vocabulary: Vocabulary) {}

    answered(ticket: Ticket, status: number, waitedMs: number, tookMs: number, report: LoadReport): void {
        logger.decision(this.#idOf(ticket), "The upstream has answered.", {
            try: ticket.call.head.id,
            status,
            waitedMs: Math.round(waitedMs),
            tookMs: Math.round(tookMs),
            ...this.#state(report),
        });
    }

    refused(ticket: Ticket, err: unknown, report: LoadReport): void {
        const { outcome, reason } = err instanceof HopError ? err : { outcome: "unknown", reason: String(err) };
        logger.failure(this.#idOf(ticket), "The gate has no answer.", {
            try: ticket.call.head.id,
            outcome,
            reason,
            choices: ticket.choices,
            ...this.#state(report),
        });
    }

    #idOf(ticket: Ticket): string {
        return this.vocabulary.idOf(ticket.call.headers, ticket.call.head.id);
    }

    #state({ running, waiting, limit, serviceMs, pace }: LoadReport): object {
        return { upstream: this.upstream, running, waiting, limit, serviceMs: Math.round(serviceMs), pace };
    }
}
