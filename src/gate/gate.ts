/**
 * The only way in to one upstream.
 *
 * It owns the upstream's slots, its queue and its part of the ledger. Every refusal is a HopError whose outcome is
 * `not-run` exactly when the ledger or the upstream proves it.
 */
import { PassThrough, type Readable } from "node:stream";
import type { Upstream } from "../config/upstream.js";
import type { AnswerNote } from "../hop/answernote.js";
import { cleanHeaders } from "../hop/cleanheaders.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { GateCall } from "../hop/gatecall.js";
import { headerName } from "../hop/headername.js";
import { HopError } from "../hop/hoperror.js";
import type { Ledger } from "../ledger/ledger.js";
import { AdaptiveLimit } from "../policy/adaptivelimit.js";
import { Admission } from "../policy/admission.js";
import { FixedLimit } from "../policy/fixedlimit.js";
import type { LoadReport } from "../policy/loadreport.js";
import { ServiceTimes } from "../policy/servicetimes.js";
import type { Clock } from "../time/clock.js";
import { log } from "../time/log.js";
import type { Contexts } from "./contexts.js";
import type { GateIdentity } from "./gateidentity.js";
import { Ticket } from "./ticket.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";

const debug = log("gate");

/** What a gate shares with the rest of its daemon. */
type GateParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: Contexts;
    readonly identity: GateIdentity;
    readonly limit: "adaptive" | "fixed";
    readonly localIp: string;
};

/** Serves the calls for one upstream. */
export class Gate {
    readonly #times = new ServiceTimes();
    readonly #client: UpstreamClient;
    readonly #admission: Admission<Ticket>;
    readonly #offers = new Set<string>();
    readonly #leaving = new Set<string>();
    #finished = 0;
    #refused = 0;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        this.#client = new UpstreamClient(upstream, parts.localIp);
        const { slots } = upstream;
        const limit = parts.limit === "fixed" ? new FixedLimit(slots) : new AdaptiveLimit(slots, this.#times);
        this.#admission = new Admission(limit, this.#times);
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

    report(): LoadReport {
        return this.#admission.report();
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
        await this.#enter(ticket);
        return this.#run(ticket);
    }

    /** Keeps a slot for a sibling's request; returns false when none is free. */
    offer(id: string): boolean {
        if (this.#leaving.size > 0 || !this.#admission.hold()) {
            return false;
        }
        this.#offers.add(id);
        return true;
    }

    /** Takes an offer back if it was not used. */
    withdraw(id: string): void {
        if (this.#offers.delete(id)) {
            this.#admission.release();
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

    async #enter(ticket: Ticket): Promise<void> {
        const { head, signal } = ticket.call;
        const verdict = this.#admission.arrive(ticket, this.parts.clock(), this.#takeOffer(head.offer));
        if (verdict.type === "run") {
            return;
        }
        if (verdict.type === "refuse") {
            this.#withdrawFromLedger(ticket);
            throw this.#refuse(verdict.refusal.reason, "not-run", { retryAfterMs: verdict.refusal.retryAfterMs });
        }
        const onAbort = (): void => this.#abandon(ticket, "caller-left");
        signal.addEventListener("abort", onAbort, { once: true });
        const timer = setTimeout(() => this.#abandon(ticket, "deadline"), ticket.deadline - this.parts.clock());
        try {
            await ticket.turn();
        }
        finally {
            clearTimeout(timer);
            signal.removeEventListener("abort", onAbort);
        }
    }

    #takeOffer(offer: string | undefined): boolean {
        return offer !== undefined && this.#offers.delete(offer);
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
        const { clock, ledger, contexts } = this.parts;
        const { call } = ticket;
        const startedAt = clock();
        if (startedAt >= ticket.deadline || (ticket.once && !ledger.start(call.head.id, startedAt))) {
            this.#withdrawFromLedger(ticket);
            this.#release(undefined);
            throw this.#refuse("deadline-or-revoked");
        }
        const context = contexts.open(ticket.deadline, call.head.depth);
        let open = true;
        const end = (served: boolean): void => {
            if (open) {
                open = false;
                contexts.close(context);
                ledger.finish(call.head.id);
                this.#finished += 1;
                this.#release(served ? clock() - startedAt : undefined);
            }
        };
        try {
            const answer = await this.#client.send(call, this.#headers(ticket, context.token), ticket.upstreamSignal());
            const streamed = call.head.answer === "streamed";
            if (streamed) {
                end(true);
            }
            if (answer.headers[headerName.leaving] !== undefined) {
                this.leave("upstream");
            }
            return {
                status: answer.status,
                headers: cleanHeaders(answer.headers),
                body: streamed ? answer.body : this.#watch(answer.body, ticket, end),
                note: this.note({
                    tookMs: clock() - ticket.arrivedAt,
                    ...(context.retriedBelow ? { retriedBelow: true } : {}),
                }),
            };
        }
        catch (err) {
            throw this.#turn(err, ticket, () => end(false));
        }
    }

    /** Passes a body on and ends the request with it; a `once` request is read to its end whoever has left. */
    #watch(body: Readable, ticket: Ticket, end: (served: boolean) => void): Readable {
        if (ticket.once) {
            const out = new PassThrough();
            body.on("error", err => out.destroy(err));
            out.on("error", () => {});
            out.on("close", () => body.unpipe(out).resume());
            body.on("close", () => end(true));
            return body.pipe(out);
        }
        body.on("close", () => end(true));
        return body;
    }

    #headers(ticket: Ticket, token: string): GateCall["headers"] {
        const { call } = ticket;
        return {
            ...call.headers,
            [headerName.context]: token,
            [headerName.requestId]: call.head.id,
            [headerName.timeout]: String(Math.max(1, Math.floor(ticket.deadline - this.parts.clock()))),
        };
    }

    #turn(err: unknown, ticket: Ticket, end: () => void): HopError {
        const failure = err as UpstreamError;
        const sent = !(err instanceof UpstreamError) || failure.sent;
        if (!sent && ticket.once) {
            this.parts.ledger.disprove(ticket.call.head.id);
        }
        if (failure.reason === "leaving") {
            this.leave("upstream");
        }
        end();
        return this.#refuse(failure.reason ?? "upstream-broke", sent ? "unknown" : "not-run");
    }

    #release(serviceMs: number | undefined): void {
        this.#admission.finish(serviceMs);
        this.#advance();
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
