/**
 * The quota of teams at one daemon: the requests that need tokens, and the buckets of the shards that it is a counter of.
 *
 * docs/design/team-quota.md describes the protocol and why it keeps the bound.
 */
import type { Address } from "../../ids/address.js";
import type { Incarnation } from "../../ids/incarnation.js";
import type { TeamName } from "../../ids/teamname.js";
import type { RandomSource } from "../randomsource.js";
import { ClientTeam } from "./clientteam.js";
import { CounterView } from "./counterview.js";
import { excludesFormerLease } from "./excludesformerlease.js";
import { MemberMaximum } from "./membermaximum.js";
import type { QuotaAnswer } from "./quotaanswer.js";
import type { QuotaAsk } from "./quotaask.js";
import type { QuotaBound } from "./quotabound.js";
import { quotaLimit } from "./quotalimit.js";
import type { QuotaResult } from "./quotaresult.js";
import type { QuotaStatus } from "./quotastatus.js";
import { ShardClient } from "./shardclient.js";
import { ShardCounter } from "./shardcounter.js";
import { shardOf } from "./shardof.js";
import { ShareLease } from "./sharelease.js";
import type { TeamLimit } from "./teamlimit.js";

const MS_PER_SECOND = 1000;

type AgentDependencies = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    /** The time of the process's start on its clock. */
    readonly startedAt: number;
    readonly bound: QuotaBound;
    readonly random: RandomSource;
    readonly sendAsk: (to: Address, ask: QuotaAsk) => boolean;
    readonly sendAnswer: (to: Address, answer: QuotaAnswer) => boolean;
};

type Shard = { readonly client: ShardClient; readonly counter: ShardCounter<Address>; };
type Limits = ReadonlyMap<TeamName, TeamLimit>;

/** Times are milliseconds on the daemon's clock. */
export class QuotaAgent {
    readonly #shards = new Map<number, Shard>();
    readonly #teams = new Map<TeamName, ClientTeam<Address>>();
    readonly #views = new Map<Address, CounterView>();
    readonly #members = new MemberMaximum();
    #addresses: readonly Address[] = [];
    #limits: Limits = new Map();
    #lastId = 0;

    constructor(private readonly deps: AgentDependencies) {}

    /** True while answers are outstanding, so that `tick` should be called often. */
    get isBusy(): boolean {
        return [...this.#shards.values()].some(({ client }) => client.isBusy);
    }

    /** Applies the limits of the teams that have a rate. */
    applyLimits(limits: Limits, now: number): void {
        this.#limits = limits;
        for (const [name, { ratePerSecond }] of limits) {
            const team = this.#teams.get(name) ?? new ClientTeam<Address>(name, ratePerSecond);
            team.ratePerSecond = ratePerSecond;
            this.#teams.set(name, team);
            this.#shard(shardOf(name)).client.teams.set(name, team);
        }
        for (const [name, team] of this.#teams) {
            if (!limits.has(name)) {
                this.#teams.delete(name);
                this.#shard(shardOf(name)).client.teams.delete(name);
                team.tickets.forEach(({ options }) => options.settle({ type: "token" }));
            }
        }
        for (const [number, { counter }] of this.#shards) {
            counter.setLimits(this.#limitsOf(number), now);
        }
    }

    /** Applies the addresses of all daemons, this one included. */
    applyMembers(addresses: readonly Address[], now: number): void {
        this.#addresses = addresses;
        this.#members.record(addresses.length, now);
        this.#shards.forEach(({ client }) => client.choice.setMembers(addresses));
    }

    /** Returns a token or a refusal at once, or undefined if `settle` will be called; `flush` has to be called then. */
    acquire(
        name: TeamName,
        maxWaitMs: number,
        now: number,
        settle: (result: QuotaResult) => void,
    ): QuotaResult | undefined {
        const team = this.#teams.get(name);
        return team === undefined
            ? { type: "token" }
            : this.#shard(shardOf(name)).client.acquire(team, maxWaitMs, now, settle);
    }

    /** Takes a token that is at hand; returns false if there is none. */
    tryAcquire(name: TeamName, now: number): boolean {
        const team = this.#teams.get(name);
        return team === undefined || team.held.take(now);
    }

    /** Returns the token of a request that provably did not run. */
    release(name: TeamName): void {
        this.#teams.get(name)?.recordReturned();
    }

    /** Sends the requests for tokens that are due. */
    flush(now: number): void {
        this.#shards.forEach(({ client }) => client.flush(now));
    }

    tick(now: number): void {
        this.#members.record(this.#addresses.length, now);
        this.#view(this.deps.self).recordAnswer(this.deps.incarnation, now, now, now);
        this.#shards.forEach(({ client }) => client.tick(now));
    }

    /** Answers a request of a daemon, as the counter of a shard. */
    receiveAsk(from: Address, ask: QuotaAsk, now: number): void {
        this.deps.sendAnswer(from, this.#answer(from, ask, now));
    }

    receiveAnswer(from: Address, answer: QuotaAnswer, now: number): void {
        if (this.#shards.get(answer.shard)?.client.receive(from, answer, now) === true && answer.clock !== undefined) {
            this.#members.record(answer.clock.members, now);
        }
    }

    /** Returns the state of each team with a rate. */
    status(now: number): QuotaStatus[] {
        return [...this.#limits].map(([name, { ratePerSecond, burst }]) => {
            const { refused, held } = this.#teams.get(name)!;
            const counter = this.#shard(shardOf(name)).client.counter(now);
            return { team: name, ratePerSecond, burst, counter, refused, held: held.spares(now) };
        });
    }

    #answer(from: Address, { shard, id, lease, teams }: QuotaAsk, now: number): QuotaAnswer {
        const { incarnation } = this.deps;
        const { counter } = this.#shard(shard);
        const members = this.#members.get(now);
        if (lease?.until !== undefined && lease.counter === incarnation) {
            counter.lease(from, lease.until, lease.members, members, now);
        }
        const clock = lease && { incarnation, time: now, members: this.#addresses.length };
        return { shard, id, ...(clock && { clock }), teams: counter.answer(from, teams, members, now) };
    }

    #limitsOf(shard: number): ReadonlyMap<TeamName, ReturnType<typeof quotaLimit>> {
        const teams = [...this.#limits].filter(([name]) => shardOf(name) === shard);
        return new Map(teams.map(([name, limit]) => [name, quotaLimit(limit, this.deps.bound)]));
    }

    #shard(number: number): Shard {
        return this.#shards.get(number) ?? this.#createShard(number);
    }

    #createShard(number: number): Shard {
        const { self, random, startedAt, sendAsk } = this.deps;
        const client = new ShardClient({
            shard: number,
            self,
            random,
            lease: new ShareLease(startedAt, () => startedAt === 0 && this.#excludesFormerLease(number)),
            view: address => this.#view(address),
            members: now => this.#members.get(now),
            nextId: () => ++this.#lastId,
            send: (to, ask, now) => to === self ? this.#askSelf(ask, now) : sendAsk(to, ask),
        });
        client.choice.setMembers(this.#addresses);
        const shard = { client, counter: new ShardCounter<Address>(this.deps.bound.windowS * MS_PER_SECOND) };
        this.#shards.set(number, shard);
        return shard;
    }

    #excludesFormerLease(shard: number): boolean {
        const { candidates } = this.#shard(shard).client.choice;
        return excludesFormerLease(candidates.map(address => this.#view(address)), this.deps.startedAt);
    }

    #askSelf(ask: QuotaAsk, now: number): boolean {
        this.receiveAnswer(this.deps.self, this.#answer(this.deps.self, ask, now), now);
        return true;
    }

    #view(address: Address): CounterView {
        const view = this.#views.get(address) ?? new CounterView();
        this.#views.set(address, view);
        return view;
    }
}
