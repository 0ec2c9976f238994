/**
 * The only way in to one upstream.
 *
 * It owns the upstream's slots, its queue and its part of the ledger. Every refusal is a HopError whose outcome is
 * `not-run` exactly when the ledger or the upstream proves it.
 */
import type { Upstream } from "../config/upstream.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import { log } from "../log/log.js";
import { Admission } from "../policy/admission/admission.js";
import { makeLimit } from "../policy/admission/makelimit.js";
import { RuleTimes } from "../policy/admission/ruletimes.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { AnswerNote } from "../wire/answernote.js";
import { Entrance } from "./entrance.js";
import { GateLog } from "./gatelog.js";
import type { GateParts } from "./gateparts.js";
import { PaceWatch } from "./pacewatch.js";
import { Ticket } from "./ticket.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";
import { UpstreamRun } from "./upstreamrun.js";

const logger = log("gate");

/** Why a gate is closed when the upstream itself said that it is leaving. */
const UPSTREAM_REASON = "upstream";
/** A question of the pace holds a request up, so that it must be answered soon. */
const ASK_TIMEOUT_MS = 15;

/** Serves the calls for one upstream. */
export class Gate {
    readonly #pace: PaceWatch;
    readonly #log: GateLog;
    readonly #client: UpstreamClient;
    readonly #admission: Admission<Ticket>;
    readonly #entrance: Entrance;
    readonly #runs = new Set<UpstreamRun>();
    readonly #leaving = new Set<string>();
    #finished = 0;
    #refused = 0;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        const { clock, ledger, localIp, vocabulary } = parts;
        this.#client = new UpstreamClient(upstream, {
            localIp,
            vocabulary,
            heard: ({ pace }) => this.#pace.heard(pace),
        });
        this.#log = new GateLog(upstream.name, vocabulary);
        this.#pace = new PaceWatch({
            clock,
            mayAsk: parts.mayAsk,
            ask: () => this.ask(parts.healthPath(upstream.service), ASK_TIMEOUT_MS),
        });
        this.#admission = new Admission(makeLimit(parts.limit, upstream.slots), new RuleTimes());
        this.#entrance = new Entrance({
            clock,
            ledger,
            admission: this.#admission,
            refuse: (reason, more) => this.#refuse(reason, "not-run", more),
        });
    }

    get finished(): number {
        return this.#finished;
    }

    get refused(): number {
        return this.#refused;
    }

    /** Why no new work is taken, undefined while it is. */
    get leaving(): string | undefined {
        return this.#leaving.values().next().value;
    }

    /** Requests that run or wait. */
    get busy(): number {
        return this.#admission.running + this.#admission.waiting;
    }

    /** An upstream that answers nothing shows by the age of what it has: that counts as its service time. */
    report(): LoadReport {
        const report = { ...this.#admission.report(), pace: this.#pace.last };
        const meanAgeMs = this.#meanAgeMs();
        return meanAgeMs > report.serviceMs ? { ...report, serviceMs: meanAgeMs } : report;
    }

    /** Closes the gate to new work for a reason; what waits and runs is finished. */
    leave(reason: string): void {
        if (!this.#leaving.has(reason)) {
            logger.belief("The gate takes no new work.", { upstream: this.upstream.name, reason });
        }
        this.#leaving.add(reason);
    }

    /** Takes a reason back; the gate opens when none is left. */
    reopen(reason: string): void {
        this.#leaving.delete(reason);
    }

    /** Serves a call; throws a HopError. */
    async serve(call: GateCall): Promise<GateAnswer> {
        const ticket = new Ticket(call, this.parts.identity, this.parts.clock());
        try {
            return await this.#serveTicket(ticket);
        }
        catch (err) {
            this.#log.refused(ticket, err, this.report());
            throw err;
        }
    }

    async #serveTicket(ticket: Ticket): Promise<GateAnswer> {
        const { call } = ticket;
        this.#refuseIfLeaving();
        if (ticket.choices > 0) {
            await this.#refuseIfSlow(call);
        }
        if (ticket.once) {
            const admitted = this.parts.ledger.admit(call.head.id, ticket.deadline, ticket.arrivedAt);
            if (admitted !== "admitted") {
                throw this.#refuse(`ledger-${admitted}`, admitted === "duplicate" ? "unknown" : "not-run");
            }
        }
        this.parts.onChange();
        await this.#entrance.enter(ticket);
        return this.#run(ticket);
    }

    /** Asks the upstream's health endpoint and believes what it says of leaving and of its load. */
    async ask(path: string, timeoutMs: number): Promise<void> {
        const { headers } = await this.#client.ask(path, timeoutMs);
        if (this.parts.vocabulary.isLeaving(headers)) {
            this.leave(UPSTREAM_REASON);
        }
        else {
            this.reopen(UPSTREAM_REASON);
        }
    }

    /** Keeps a slot for a sibling's request; returns false when none is free. */
    offer(id: string): boolean {
        return this.#leaving.size === 0 && this.#entrance.offers.make(id);
    }

    /** Takes an offer back if it was not used. */
    withdraw(id: string): void {
        if (this.#entrance.offers.withdraw(id)) {
            this.#entrance.advance();
        }
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: string, offers: readonly string[]): number {
        return this.#entrance.handBack(goTo, offers);
    }

    /** Slots that are neither in use nor held. */
    get free(): number {
        return this.#admission.free;
    }

    get waiting(): number {
        return this.#admission.waiting;
    }

    close(): Promise<void> {
        return this.#client.close();
    }

    /** The note of an answer, or of a refusal. */
    note(more: Partial<AnswerNote> = {}): AnswerNote {
        return { ...this.parts.identity.note(this.parts.clock()), report: more.report ?? this.report(), ...more };
    }

    #meanAgeMs(): number {
        const now = this.parts.clock();
        let sumMs = 0;
        for (const run of this.#runs) {
            sumMs += run.ageMs(now);
        }
        return this.#runs.size === 0 ? 0 : sumMs / this.#runs.size;
    }

    #refuseIfLeaving(): void {
        if (this.#leaving.size > 0) {
            throw this.#refuse("leaving");
        }
    }

    /** For a request that can go elsewhere. */
    async #refuseIfSlow(call: GateCall): Promise<void> {
        if (await this.#pace.isSlow()) {
            throw this.#refuse("slow");
        }
        this.#refuseIfLeaving();
        if (call.cancel.aborted) {
            throw this.#refuse("caller-left");
        }
    }

    async #run(ticket: Ticket): Promise<GateAnswer> {
        const { clock } = this.parts;
        if (!this.#entrance.start(ticket)) {
            throw this.#refuse("deadline-or-revoked");
        }
        const ended = (serviceMs: number | undefined): void => {
            this.#runs.delete(run);
            this.#finished += 1;
            this.#entrance.release(serviceMs, { rule: ticket.rule, pace: this.#pace.last });
            this.parts.onChange();
        };
        const startedAt = clock();
        const run = new UpstreamRun(ticket, { ...this.parts, client: this.#client, ended });
        this.#runs.add(run);
        try {
            const { leaving, calls, retriedBelow, unframed, ...answer } = await run.send();
            if (leaving) {
                this.leave(UPSTREAM_REASON);
            }
            const tookMs = clock() - ticket.arrivedAt;
            const report = this.report();
            this.#log.answered(ticket, answer.status, startedAt - ticket.arrivedAt, tookMs, report);
            return { ...answer, note: this.note({ tookMs, calls, retriedBelow, unframed, report }) };
        }
        catch (err) {
            throw this.#turn(err);
        }
    }

    #turn(err: unknown): HopError {
        const failure = err instanceof UpstreamError ? err : new UpstreamError(true, "gate-error", { cause: err });
        if (failure.reason === "leaving" || failure.reason === "misdirected") {
            this.leave(UPSTREAM_REASON);
        }
        return this.#refuse(failure.reason, failure.sent ? "unknown" : "not-run");
    }

    #refuse(reason: string, outcome: "not-run" | "unknown" = "not-run", more: Partial<AnswerNote> = {}): HopError {
        this.#refused += 1;
        return new HopError(outcome, reason, this.note({ outcome, reason, ...more }));
    }
}
