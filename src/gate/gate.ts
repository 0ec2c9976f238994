/**
 * The only way in to one upstream.
 *
 * It owns the upstream's slots, its queue and its part of the ledger. Every refusal is a HopError whose outcome is
 * `not-run` exactly when the ledger or the upstream proves it.
 */
import type { Upstream } from "../config/upstream.js";
import type { AnswerNote } from "../hop/answernote.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import { Admission } from "../policy/admission.js";
import { FixedLimit } from "../policy/fixedlimit.js";
import type { LoadReport } from "../policy/loadreport.js";
import { RampLimit } from "../policy/ramplimit.js";
import { ServiceTimes } from "../policy/servicetimes.js";
import { log } from "../time/log.js";
import type { GateParts } from "./gateparts.js";
import { Offers } from "./offers.js";
import { Ticket } from "./ticket.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";
import { UpstreamRun } from "./upstreamrun.js";

const debug = log("gate");

/** Why a gate is closed when the upstream itself said that it is leaving. */
const UPSTREAM_REASON = "upstream";

/** Serves the calls for one upstream. */
export class Gate {
    readonly #times = new ServiceTimes();
    readonly #client: UpstreamClient;
    readonly #admission: Admission<Ticket>;
    readonly #offers: Offers;
    readonly #runs = new Set<UpstreamRun>();
    readonly #leaving = new Set<string>();
    #finished = 0;
    #refused = 0;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        this.#client = new UpstreamClient(upstream, parts.localIp);
        const { slots } = upstream;
        const limit = parts.limit === "fixed" ? new FixedLimit(slots) : new RampLimit(slots);
        this.#admission = new Admission(limit, this.#times);
        this.#offers = new Offers(this.#admission);
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
        const report = this.#admission.report();
        const meanAgeMs = this.#meanAgeMs();
        return meanAgeMs > report.serviceMs ? { ...report, serviceMs: meanAgeMs } : report;
    }

    /** Closes the gate to new work for a reason; what waits and runs is finished. */
    leave(reason: string): void {
        if (!this.#leaving.has(reason)) {
            debug("%s takes no new work: %s.", this.upstream.name, reason);
        }
        this.#leaving.add(reason);
    }

    /** Takes a reason back; the gate opens when none is left. */
    reopen(reason: string): void {
        this.#leaving.delete(reason);
    }

    /** Serves a call; throws a HopError. */
    async serve(call: GateCall): Promise<GateAnswer> {
        const { clock, ledger } = this.parts;
        const now = clock();
        const ticket = new Ticket(call, this.parts.identity, now);
        if (this.#leaving.size > 0) {
            throw this.#refuse("leaving");
        }
        if (ticket.once) {
            const admitted = ledger.admit(call.head.id, ticket.deadline, now);
            if (admitted !== "admitted") {
                throw this.#refuse(`ledger-${admitted}`, admitted === "duplicate" ? "unknown" : "not-run");
            }
        }
        this.parts.onChange();
        await this.#enter(ticket);
        return this.#run(ticket);
    }

    /** Keeps a slot for a sibling's request; returns false when none is free. */
    offer(id: string): boolean {
        return this.#leaving.size === 0 && this.#offers.make(id);
    }

    /** Takes an offer back if it was not used. */
    withdraw(id: string): void {
        if (this.#offers.withdraw(id)) {
            this.#advance();
        }
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: string, offers: readonly string[]): number {
        const ids = [...offers];
        const tickets = this.#admission.handBack(ids.length, ticket => ticket.movable);
        for (const ticket of tickets) {
            this.#withdrawFromLedger(ticket);
            ticket.refuse(this.#refuse("handed-back", "not-run", { goTo: goTo as never, offer: ids.shift() }));
        }
        return tickets.length;
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
        return { ...this.parts.identity.note(this.parts.clock()), report: this.report(), ...more };
    }

    #meanAgeMs(): number {
        const now = this.parts.clock();
        let sumMs = 0;
        for (const run of this.#runs) {
            sumMs += run.ageMs(now);
        }
        return this.#runs.size === 0 ? 0 : sumMs / this.#runs.size;
    }

    async #enter(ticket: Ticket): Promise<void> {
        const { head, cancel } = ticket.call;
        const verdict = this.#admission.arrive(ticket, this.parts.clock(), this.#offers.take(head.offer));
        if (verdict.type === "run") {
            return;
        }
        if (verdict.type === "refuse") {
            this.#withdrawFromLedger(ticket);
            throw this.#refuse(verdict.refusal.reason, "not-run", { retryAfterMs: verdict.refusal.retryAfterMs });
        }
        const onAbort = (): void => this.#abandon(ticket, "caller-left");
        const forget = cancel.onAbort(onAbort);
        const timer = setTimeout(() => this.#abandon(ticket, "deadline"), ticket.deadline - this.parts.clock());
        try {
            await ticket.turn();
        }
        finally {
            clearTimeout(timer);
            forget();
        }
    }

    /** Gives up a request that still waits: it has not run. */
    #abandon(ticket: Ticket, reason: string): void {
        if (this.#admission.leave(ticket)) {
            this.#withdrawFromLedger(ticket);
            ticket.refuse(this.#refuse(reason));
        }
    }

    #withdrawFromLedger(ticket: Ticket): void {
        if (ticket.once) {
            this.parts.ledger.revoke(ticket.call.head.id, ticket.deadline, this.parts.clock());
        }
    }

    async #run(ticket: Ticket): Promise<GateAnswer> {
        const { clock, ledger } = this.parts;
        const { id } = ticket.call.head;
        const now = clock();
        if (now >= ticket.deadline || (ticket.once && !ledger.start(id, now))) {
            this.#withdrawFromLedger(ticket);
            this.#release(undefined);
            throw this.#refuse("deadline-or-revoked");
        }
        const ended = (serviceMs: number | undefined): void => {
            this.#runs.delete(run);
            this.#finished += 1;
            this.#release(serviceMs);
        };
        const run = new UpstreamRun(ticket, { ...this.parts, client: this.#client, ended });
        this.#runs.add(run);
        try {
            const { leaving, retriedBelow, ...answer } = await run.send();
            if (leaving) {
                this.leave(UPSTREAM_REASON);
            }
            return { ...answer, note: this.note({ tookMs: clock() - ticket.arrivedAt, retriedBelow }) };
        }
        catch (err) {
            throw this.#turn(err);
        }
    }

    #turn(err: unknown): HopError {
        const failure = err instanceof UpstreamError ? err : new UpstreamError(true, "gate-error", { cause: err });
        if (failure.reason === "leaving") {
            this.leave(UPSTREAM_REASON);
        }
        return this.#refuse(failure.reason, failure.sent ? "unknown" : "not-run");
    }

    #release(serviceMs: number | undefined): void {
        this.#admission.finish(serviceMs);
        this.#advance();
        this.parts.onChange();
    }

    #advance(): void {
        const { run, late } = this.#admission.next(this.parts.clock());
        for (const ticket of late) {
            this.#withdrawFromLedger(ticket);
            ticket.refuse(this.#refuse("deadline"));
        }
        for (const ticket of run) {
            ticket.go();
        }
    }

    #refuse(reason: string, outcome: "not-run" | "unknown" = "not-run", more: Partial<AnswerNote> = {}): HopError {
        this.#refused += 1;
        return new HopError(outcome, reason, this.note({ outcome, reason, ...more }));
    }
}
