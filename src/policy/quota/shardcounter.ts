/**
 * Issues the tokens of the teams of one shard at the rate that the leased shares allow.
 *
 * Buckets are filled up to each change of the sum of the shares and cut afterwards, so that the tokens issued by all
 * counters in any time are at most the team's rate times that time plus one bucket.
 */
import type { TeamName } from "../../ids/teamname.js";
import { RollingCount } from "../rollingcount.js";
import { driftMargin } from "./driftmargin.js";
import type { QuotaAnswer } from "./quotaanswer.js";
import type { QuotaAsk } from "./quotaask.js";
import type { quotaLimit } from "./quotalimit.js";
import { quotaTimes } from "./quotatimes.js";
import { ShareLeases } from "./shareleases.js";
import { SpareTokens } from "./sparetokens.js";
import { TeamBucket } from "./teambucket.js";

/** Share of the bucket's depth that prefetching leaves for waiting requests. */
const KEPT_FOR_WAITING = 0.5;

/** Window in which refused requests are counted, in milliseconds. */
const REFUSAL_WINDOW_MS = 1000;

type TeamState<Asker> = {
    readonly bucket: TeamBucket;
    readonly spares: SpareTokens<Asker>;
    readonly returned: RollingCount;
    /** Answers that granted too few tokens. */
    readonly refusals: RollingCount;
};
type QuotaLimit = ReturnType<typeof quotaLimit>;

/** Times are milliseconds on the counter's clock. */
export class ShardCounter<Asker> {
    readonly #leases = new ShareLeases<Asker>();
    readonly #teams = new Map<TeamName, TeamState<Asker>>();
    #scale = 0;
    #nextEnd = Infinity;

    constructor(private readonly windowMs: number) {}

    /** Returns the leased part of all shares, from 0 to 1. */
    get scale(): number {
        return this.#scale;
    }

    /** Applies the limits of the teams of this shard; a bucket that is new starts empty. */
    setLimits(limits: ReadonlyMap<TeamName, QuotaLimit>, now: number): void {
        this.#advance(now, 0);
        this.#fillAll(now);
        for (const team of this.#teams.keys()) {
            if (!limits.has(team)) {
                this.#teams.delete(team);
            }
        }
        for (const [team, limit] of limits) {
            const known = this.#teams.get(team);
            known?.bucket.setLimit(limit, this.#scale);
            if (known === undefined) {
                const bucket = new TeamBucket(limit, now);
                this.#teams.set(team, {
                    bucket,
                    spares: new SpareTokens(),
                    returned: new RollingCount(this.windowMs),
                    refusals: new RollingCount(REFUSAL_WINDOW_MS),
                });
            }
        }
    }

    /** Records a lease; `members` is the number of daemons that the counter knows. */
    lease(lender: Asker, until: number, lenderMembers: number, members: number, now: number): void {
        this.#advance(now, members);
        const limitedUntil = Math.min(until, now + quotaTimes.leaseMs);
        const hasChanged = this.#leases.record(lender, limitedUntil, lenderMembers, now);
        this.#nextEnd = Math.min(this.#nextEnd, limitedUntil);
        if (hasChanged) {
            this.#changeScale(now, members);
        }
    }

    /** Answers one daemon; the teams without a bucket are left out. */
    answer(asker: Asker, asks: QuotaAsk["teams"], members: number, now: number): QuotaAnswer["teams"] {
        this.#advance(now, members);
        return asks.flatMap(ask => {
            const state = this.#teams.get(ask[0]);
            return state === undefined ? [] : [this.#answerTeam(state, asker, ask, members, now)];
        });
    }

    #answerTeam(
        { bucket, spares, returned, refusals }: TeamState<Asker>,
        asker: Asker,
        [team, wanted, held, wantedSpares, restored]: QuotaAsk["teams"][number],
        members: number,
        now: number,
    ): QuotaAnswer["teams"][number] {
        bucket.fill(this.#scale, now);
        for (
            let count = 0;
            count < restored && returned.atMost(now) + 1 <= bucket.limits.maxReturned * this.#scale;
            count++
        ) {
            returned.add(now);
            bucket.restore(1, this.#scale);
        }
        const granted = bucket.take(wanted, 0);
        const steady = this.#leases.sum(members, now + quotaTimes.spareMs * (1 + driftMargin));
        const free = Math.floor(bucket.limits.maxSpares * steady - spares.countOthers(asker, now));
        const extended = Math.max(0, Math.min(held, wantedSpares, free));
        const missing = granted < wanted ? 0 : Math.min(wantedSpares, free) - held;
        const added = bucket.take(Math.max(0, missing), bucket.limits.depth * this.#scale * KEPT_FOR_WAITING);
        spares.record(asker, Math.max(held, extended + added), now + quotaTimes.spareMs * (1 + driftMargin));
        const dueMs = granted < wanted ? bucket.dueMs(this.#scale, refusals.atMost(now)) : 0;
        if (granted < wanted) {
            refusals.add(now);
        }
        return [team, granted, extended + added, Number.isFinite(dueMs) ? Math.ceil(dueMs) : -1];
    }

    /** Applies the ends of leases in order, each at its time. */
    #advance(now: number, members: number): void {
        while (this.#nextEnd <= now) {
            const end = this.#leases.nextEnd();
            if (end <= now) {
                this.#leases.removeEnded(end);
                this.#changeScale(end, members);
            }
            this.#nextEnd = this.#leases.nextEnd();
        }
    }

    #changeScale(at: number, members: number): void {
        this.#fillAll(at);
        this.#scale = this.#leases.sum(members, at);
        for (const { bucket } of this.#teams.values()) {
            bucket.cut(this.#scale);
        }
    }

    #fillAll(at: number): void {
        for (const { bucket } of this.#teams.values()) {
            bucket.fill(this.#scale, at);
        }
    }
}
