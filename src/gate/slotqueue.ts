/** The way into one gate's slots: who runs, who waits, and what becomes of those whose turn never comes. */
import type { HopError } from "../hop/hoperror.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Admission } from "../policy/admission/admission.js";
import type { Clock } from "../time/clock.js";
import type { AnswerNote } from "../wire/answernote.js";
import { Offers } from "./offers.js";
import type { Ticket } from "./ticket.js";

/** What an entrance shares with its gate; `refuse` makes and counts a refusal. */
type EntranceParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly admission: Admission<Ticket>;
    readonly refuse: (reason: string, more?: Partial<AnswerNote>) => HopError;
};

/** Every refusal is `not-run`, and the ledger sees to it that it stays so. */
export class Entrance {
    readonly offers: Offers;

    constructor(private readonly parts: EntranceParts) {
        this.offers = new Offers(parts.admission);
    }

    /** Resolves when the request may run; rejects with a HopError when it is refused. */
    async enter(ticket: Ticket): Promise<void> {
        const { admission, clock, refuse } = this.parts;
        const { head, cancel } = ticket.call;
        const verdict = admission.arrive(ticket, clock(), this.offers.take(head.offer));
        if (verdict.type === "run") {
            return;
        }
        if (verdict.type === "refuse") {
            this.withdraw(ticket);
            throw refuse(verdict.refusal.reason, { retryAfterMs: verdict.refusal.retryAfterMs });
        }
        const forget = cancel.onAbort(() => this.#abandon(ticket, "caller-left"));
        const leftMs = ticket.deadline - clock();
        const timer = ticket.maxWaitMs < leftMs
            ? setTimeout(() => this.#abandon(ticket, "wait-too-long", admission.retryAfterMs(ticket)), ticket.maxWaitMs)
            : setTimeout(() => this.#abandon(ticket, "deadline"), leftMs);
        try {
            await ticket.turn();
        }
        finally {
            clearTimeout(timer);
            forget();
        }
    }

    /** False when the request's time is up or it was taken back meanwhile; then its slot is free again. */
    start(ticket: Ticket): boolean {
        const { clock, ledger } = this.parts;
        const now = clock();
        if (now < ticket.deadline && (!ticket.once || ledger.start(ticket.call.head.id, now))) {
            return true;
        }
        this.withdraw(ticket);
        this.release(undefined);
        return false;
    }

    /** Takes in that a request has ended, and lets the next ones in. */
    release(serviceMs: number | undefined, ended: Parameters<Admission<Ticket>["finish"]>[1] = {}): void {
        this.parts.admission.finish(serviceMs, ended);
        this.advance();
    }

    /** Lets in what may run now. */
    advance(): void {
        const { run, late } = this.parts.admission.next(this.parts.clock());
        for (const ticket of late) {
            this.withdraw(ticket);
            ticket.refuse(this.parts.refuse("deadline"));
        }
        for (const ticket of run) {
            ticket.go();
        }
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: string, offers: readonly string[]): number {
        const ids = [...offers];
        const tickets = this.parts.admission.handBack(ids.length, ticket => ticket.movable);
        for (const ticket of tickets) {
            this.withdraw(ticket);
            ticket.refuse(this.parts.refuse("handed-back", { goTo: goTo as never, offer: ids.shift() }));
        }
        return tickets.length;
    }

    /** Leaves a tombstone, so that a request that was refused can't run later. */
    withdraw(ticket: Ticket): void {
        if (ticket.once) {
            this.parts.ledger.revoke(ticket.call.head.id, ticket.deadline, this.parts.clock());
        }
    }

    /** Gives up a request that still waits: it has not run. */
    #abandon(ticket: Ticket, reason: string, retryAfterMs?: number): void {
        if (this.parts.admission.leave(ticket)) {
            this.withdraw(ticket);
            ticket.refuse(this.parts.refuse(reason, { retryAfterMs }));
        }
    }
}
