/**
 * The side of a daemon that uses the tokens of one shard: leases its share, requests tokens, and lets requests wait for
 * them.
 */
import type { Address } from "../../ids/address.js";
import type { TeamName } from "../../ids/teamname.js";
import type { RandomSource } from "../randomsource.js";
import { askIntervals } from "./askintervals.js";
import type { ClientTeam } from "./clientteam.js";
import { CounterChoice } from "./counterchoice.js";
import type { CounterView } from "./counterview.js";
import type { QuotaAnswer } from "./quotaanswer.js";
import type { QuotaAsk } from "./quotaask.js";
import type { QuotaResult } from "./quotaresult.js";
import { quotaTimes } from "./quotatimes.js";
import type { ShareLease } from "./sharelease.js";
import { TokenTicket } from "./tokenticket.js";

/** Time after which a request counts as lost and another counter is asked; several round trips. */
const ANSWER_TIMEOUT_MS = 60;
/** A request for tokens renews the lease too if the last renewal was this long ago. */
const PIGGYBACK_MS = quotaTimes.renewMs / 2;
/** Teams in one message; more would exceed the length of a datagram. */
const MAX_TEAMS = 16;
/** Prefetched tokens are renewed if they expire within this time. */
const RENEW_SPARES_MS = 400;
/** Requests of one team that wait for a token; more are refused. */
const MAX_TICKETS = 64;

type Team = ClientTeam<Address>;
type Ticket = TokenTicket<Address>;
type AskedTeam = { readonly team: Team; readonly tickets: readonly Ticket[]; readonly held: number; };
type OutstandingAsk = {
    readonly counter: Address;
    readonly sentAt: number;
    readonly teams: readonly AskedTeam[];
    isOverdue: boolean;
};
/** The requests for tokens to be sent now. */
type DueAsks = Map<Address, Map<Team, Ticket[]>>;

type ClientDependencies = {
    readonly shard: number;
    readonly self: Address;
    readonly lease: ShareLease<Address>;
    readonly random: RandomSource;
    readonly view: (counter: Address) => CounterView;
    /** Returns the number of daemons by which shares are computed. */
    readonly members: (now: number) => number;
    readonly nextId: () => number;
    /** Sends a request; one to this daemon itself is answered before the call returns. */
    readonly send: (to: Address, ask: QuotaAsk, now: number) => boolean;
};

/** Times are milliseconds on the daemon's clock. */
export class ShardClient {
    readonly choice: CounterChoice;
    readonly teams = new Map<TeamName, Team>();
    readonly #asks = new Map<number, OutstandingAsk>();
    readonly #lastSentAt = new Map<Address, number>();

    constructor(private readonly deps: ClientDependencies) {
        this.choice = new CounterChoice(deps);
    }

    get isBusy(): boolean {
        return this.#asks.size > 0;
    }

    counter(now: number): Address {
        return this.deps.lease.holder(now) ?? this.choice.preferred;
    }

    /** Returns a token or a refusal at once, or undefined if `settle` will be called; `flush` has to be called then. */
    acquire(
        team: Team,
        maxWaitMs: number,
        now: number,
        settle: (result: QuotaResult) => void,
    ): QuotaResult | undefined {
        const { members, random } = this.deps;
        const result = team.acquireNow(members(now), now, random);
        if (result !== undefined) {
            return result;
        }
        if (team.tickets.length >= MAX_TICKETS) {
            return team.refuse(0, members(now), now, random);
        }
        team.tickets.push(new TokenTicket({ giveUpAt: now + maxWaitMs, settle }));
        return undefined;
    }

    /** Sends the requests for tokens that are due. */
    flush(now: number): void {
        const targets = this.choice.targets(this.deps.lease.holder(now));
        const due: DueAsks = new Map();
        for (const team of this.teams.values()) {
            this.#collectDue(team, targets, due, now);
        }
        for (const [counter, teams] of due) {
            const entries = [...teams];
            for (let start = 0; start < entries.length; start += MAX_TEAMS) {
                this.#ask(counter, entries.slice(start, start + MAX_TEAMS), now);
            }
        }
    }

    /** Applies an answer; returns false if no request for it is outstanding. */
    receive(from: Address, answer: QuotaAnswer, now: number): boolean {
        const ask = this.#asks.get(answer.id);
        if (ask?.counter !== from || now >= ask.sentAt + quotaTimes.wantedMs) {
            return false;
        }
        const { clock } = answer;
        if (clock === undefined) {
            this.deps.view(from).recordAlive();
        }
        else if (this.deps.view(from).recordAnswer(clock.incarnation, clock.time, ask.sentAt, now)) {
            this.deps.lease.recordIncarnation(from, clock.incarnation);
        }
        else {
            return false;
        }
        this.#asks.delete(answer.id);
        for (const asked of ask.teams) {
            this.#applyAnswer(asked, answer.teams.find(([name]) => name === asked.team.name), ask, now);
        }
        this.flush(now);
        return true;
    }

    /** Handles answers that are overdue, waits that have ended, and renewals. */
    tick(now: number): void {
        for (const [id, ask] of this.#asks) {
            if (!ask.isOverdue && now >= ask.sentAt + ANSWER_TIMEOUT_MS) {
                ask.isOverdue = true;
                this.deps.view(ask.counter).recordUnanswered();
                ask.teams.forEach(asked => this.#endAsk(asked, ask.counter, -1));
            }
            if (now >= ask.sentAt + quotaTimes.wantedMs) {
                this.#asks.delete(id);
            }
        }
        for (const team of this.teams.values()) {
            team.settleTickets(now);
            team.tickets.filter(({ options }) => now >= options.giveUpAt).forEach(ticket =>
                this.#refuse(team, ticket, now)
            );
        }
        this.#renew(now);
        this.flush(now);
    }

    #renew(now: number): void {
        const { preferred, uncertain } = this.choice;
        const isLeased = this.deps.lease.holder(now) !== undefined;
        if (now - this.#sentAt(preferred) >= (isLeased ? quotaTimes.renewMs : askIntervals.unleasedMs)) {
            this.#ask(preferred, [], now);
        }
        for (const counter of uncertain) {
            if (now - this.#sentAt(counter) >= (isLeased ? askIntervals.probeMs : askIntervals.unleasedMs)) {
                this.#ask(counter, [], now);
            }
        }
    }

    #sentAt(counter: Address): number {
        return this.#lastSentAt.get(counter) ?? -Infinity;
    }

    #collectDue(team: Team, targets: readonly Address[], due: DueAsks, now: number): void {
        const ticketsAt = (counter: Address): Ticket[] => {
            const teams = due.get(counter) ?? new Map<Team, Ticket[]>();
            due.set(counter, teams);
            const tickets = teams.get(team) ?? [];
            teams.set(team, tickets);
            return tickets;
        };
        for (const ticket of [...team.tickets]) {
            if (ticket.state === "asked" || ticket.state > now) {
                continue;
            }
            const step = ticket.next(targets, now);
            if (step.type === "ask") {
                ticketsAt(step.counter).push(ticket);
            }
            else if (step.type === "refuse") {
                this.#refuse(team, ticket, now);
            }
        }
        if (team.needsSpares(RENEW_SPARES_MS, now)) {
            ticketsAt(targets[0]!);
        }
    }

    /** Sends one request, with the lease of the share if the counter is the preferred one. */
    #ask(counter: Address, entries: readonly (readonly [Team, readonly Ticket[]])[], now: number): void {
        const { shard, lease, view, members, nextId, send } = this.deps;
        const isPreferred = counter === this.choice.preferred;
        const id = nextId();
        const teams: AskedTeam[] = entries.map(([team, tickets]) => ({ team, tickets, held: team.held.spares(now) }));
        const asks = teams.map(({ team, tickets, held }): QuotaAsk["teams"][number] => {
            const spares = isPreferred ? team.askSpares(now) : 0;
            const returned = isPreferred ? team.returned : 0;
            team.returned -= returned;
            return [team.name, tickets.length, held, spares, returned];
        });
        const isRenewal = now - this.#sentAt(counter) >= PIGGYBACK_MS || entries.length === 0;
        const grant = isRenewal && isPreferred ? lease.grant(counter, view(counter), now) : undefined;
        const leaseAsk = isRenewal ? { lease: { members: members(now), ...grant } } : undefined;
        this.#lastSentAt.set(counter, isRenewal ? now : this.#sentAt(counter));
        this.#asks.set(id, { counter, sentAt: now, teams, isOverdue: false });
        if (!send(counter, { shard, id, ...leaseAsk, teams: asks }, now)) {
            this.#asks.delete(id);
            teams.forEach(asked => this.#endAsk(asked, counter, -1));
        }
    }

    #applyAnswer(
        { team, tickets, held }: AskedTeam,
        entry: QuotaAnswer["teams"][number] | undefined,
        ask: OutstandingAsk,
        now: number,
    ): void {
        const [, granted, spares, dueMs] = entry ?? [team.name, 0, 0, -1];
        team.held.addGranted(granted, ask.sentAt);
        team.held.setSpares(spares, held, ask.sentAt, now);
        team.settleTickets(now);
        if (!ask.isOverdue) {
            this.#endAsk({ team, tickets, held }, ask.counter, dueMs);
        }
    }

    /** Lets the tickets that are still waiting be sent to another counter. */
    #endAsk({ team, tickets }: AskedTeam, counter: Address, dueMs: number): void {
        if (counter === this.choice.preferred) {
            team.isAskingSpares = false;
        }
        tickets.filter(ticket => team.tickets.includes(ticket)).forEach(ticket => ticket.recordShortage(dueMs));
    }

    #refuse(team: Team, ticket: Ticket, now: number): void {
        const { members, random } = this.deps;
        team.tickets = team.tickets.filter(other => other !== ticket);
        if (ticket.dueMs !== undefined) {
            team.block(ticket.dueMs, now);
        }
        ticket.options.settle(team.refuse(ticket.dueMs, members(now), now, random));
    }
}
