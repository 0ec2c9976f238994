/** The state of one team at a daemon that serves its requests. */
import type { TeamName } from "../../ids/teamname.js";
import type { RandomSource } from "../randomsource.js";
import { RollingCount } from "../rollingcount.js";
import { HeldTokens } from "./heldtokens.js";
import type { QuotaResult } from "./quotaresult.js";
import { retryAfter } from "./retryafter.js";
import { TeamDemand } from "./teamdemand.js";
import type { TokenTicket } from "./tokenticket.js";

/** Window in which refusals are counted to spread the callers' returns, in milliseconds. */
const REFUSAL_WINDOW_MS = 1000;
/** After a refusal, requests are refused without asking a counter for at least this long. */
const MIN_BLOCK_MS = 50;
/** Bounds the time in which tokens that have come free are not asked for. */
const MAX_BLOCK_MS = 1000;
/** Least time between two requests that only ask for prefetched tokens. */
const SPARES_INTERVAL_MS = 300;
/** Tells callers to return when another counter may have been found; used if no counter answers. */
const NO_COUNTER_RETRY_MS = 1000;
/** Bounds the tokens that are to be returned, and so the size of the number in a message. */
const MAX_RETURNED = 64;

/** Times are milliseconds on the daemon's clock. */
export class ClientTeam<Counter> {
    readonly held = new HeldTokens();
    readonly demand = new TeamDemand();
    readonly #refusals = new RollingCount(REFUSAL_WINDOW_MS);
    tickets: TokenTicket<Counter>[] = [];
    /** Tokens of requests that did not run, to be returned to the counter. */
    returned = 0;
    /** Requests refused since the start. */
    refused = 0;
    #blockedUntil = -Infinity;
    /** True while a request for prefetched tokens is outstanding. */
    isAskingSpares = false;
    #sparesAskedAt = -Infinity;

    constructor(readonly name: TeamName, public ratePerSecond: number) {}

    /** Returns a token or a refusal if that can be decided at once, otherwise undefined. */
    acquireNow(daemons: number, now: number, random: RandomSource): QuotaResult | undefined {
        this.demand.record(now);
        if (this.tickets.length === 0 && this.held.take(now)) {
            return { type: "token" };
        }
        return now < this.#blockedUntil ? this.refuse(this.#blockedUntil - now, daemons, now, random) : undefined;
    }

    /** Refuses a request; `dueMs` is undefined if no counter could say when a token is available. */
    refuse(dueMs: number | undefined, daemons: number, now: number, random: RandomSource): QuotaResult {
        this.refused += 1;
        this.#refusals.add(now);
        if (dueMs === undefined) {
            return { type: "refused", reason: "no-counter", retryAfterMs: NO_COUNTER_RETRY_MS * (1 + random()) };
        }
        const refusedPerSecond = this.#refusals.atMost(now) * daemons;
        const { ratePerSecond } = this;
        const retryAfterMs = retryAfter({ dueMs, refusedPerSecond, ratePerSecond }, random);
        return { type: "refused", reason: "over-quota", retryAfterMs };
    }

    /** Refuses further requests at once until about the time at which a counter has a token. */
    block(dueMs: number, now: number): void {
        this.#blockedUntil = now + Math.min(MAX_BLOCK_MS, Math.max(MIN_BLOCK_MS, dueMs));
    }

    /** Gives the tokens that are held to the requests that wait. */
    settleTickets(now: number): void {
        while (this.tickets.length > 0 && this.held.take(now)) {
            this.tickets.shift()!.options.settle({ type: "token" });
        }
    }

    recordReturned(): void {
        this.returned = Math.min(MAX_RETURNED, this.returned + 1);
    }

    /** Returns the number of prefetched tokens to ask for; 0 while an answer is outstanding. */
    askSpares(now: number): number {
        if (this.isAskingSpares) {
            return 0;
        }
        this.isAskingSpares = true;
        this.#sparesAskedAt = now;
        return this.demand.wantedSpares(now);
    }

    /** Returns true if a counter has to be asked for prefetched tokens before those that are held expire. */
    needsSpares(withinMs: number, now: number): boolean {
        return !this.isAskingSpares && now >= this.#sparesAskedAt + SPARES_INTERVAL_MS && now >= this.#blockedUntil
            && (this.held.spares(now) === 0 || this.held.sparesUntil <= now + withinMs)
            && this.demand.wantedSpares(now) > 0;
    }
}
