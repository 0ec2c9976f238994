/**
 * Runs the quota agents of many daemons without processes: each has a clock of its own speed, and messages take time, get
 * lost, are duplicated or do not pass a partition. The time of the mesh is real time in milliseconds.
 */
import type { Address } from "../../ids/address.js";
import type { Incarnation } from "../../ids/incarnation.js";
import type { TeamName } from "../../ids/teamname.js";
import { QuotaAgent } from "../quota/quotaagent.js";
import type { QuotaAnswer } from "../quota/quotaanswer.js";
import type { QuotaAsk } from "../quota/quotaask.js";
import type { QuotaBound } from "../quota/quotabound.js";
import type { QuotaResult } from "../quota/quotaresult.js";
import type { TeamLimit } from "../quota/teamlimit.js";
import type { RandomSource } from "../randomsource.js";
import { EventLoop } from "./eventloop.js";

const BUSY_TICK_MS = 20;
const IDLE_TICK_MS = 200;
/** Addresses are made of two numbers of this size. */
const ADDRESS_BITS = 8;
/** The clock of a daemon begins with its process; the first thing that it does follows this much later. */
const BOOT_MS = 500;

type Daemon = {
    readonly address: Address;
    readonly speed: number;
    agent: QuotaAgent | undefined;
    startedAt: number;
    pausedUntil: number;
    process: number;
    members: readonly Address[];
};
type MeshOptions = {
    readonly speeds: readonly number[];
    readonly bound: QuotaBound;
    readonly limits: ReadonlyMap<TeamName, TeamLimit>;
    readonly random: RandomSource;
    readonly delayMs: () => number;
    readonly lossRatio: number;
    readonly duplicateRatio: number;
};
type Result = QuotaResult & { readonly waitedMs: number; };

export class QuotaMesh {
    readonly #events = new EventLoop();
    readonly daemons: Daemon[];
    readonly #indexOf: ReadonlyMap<Address, number>;
    /** Returns true if messages pass between two daemons. */
    connects: (from: number, to: number) => boolean = () => true;
    limits: ReadonlyMap<TeamName, TeamLimit>;
    /** Called for each message that is sent. */
    onMessage: (from: Address, message: QuotaAsk | QuotaAnswer) => void = () => {};

    constructor(private readonly options: MeshOptions) {
        this.limits = options.limits;
        this.daemons = options.speeds.map((speed, index) => ({
            address: `10.0.${index >> ADDRESS_BITS}.${index % 2 ** ADDRESS_BITS}:1` as Address,
            speed,
            agent: undefined,
            startedAt: 0,
            pausedUntil: 0,
            process: 0,
            members: [],
        }));
        this.#indexOf = new Map(this.daemons.map(({ address }, index) => [address, index]));
        const all = this.daemons.map(({ address }) => address);
        this.daemons.forEach((daemon, index) => {
            daemon.members = all;
            this.start(index);
        });
    }

    get now(): number {
        return this.#events.now;
    }

    /** Runs until the time `until`. */
    run(until: number): void {
        this.#events.runUntil(until);
    }

    /** Calls `run` at the time `at`. */
    schedule(at: number, run: () => void): void {
        this.#events.schedule(at - this.now, run);
    }

    start(index: number): void {
        const daemon = this.daemons[index]!;
        daemon.process += 1;
        daemon.startedAt = this.now;
        const process = daemon.process;
        this.schedule(this.now + BOOT_MS, () => {
            if (daemon.process === process) {
                this.#createAgent(index, daemon);
            }
        });
    }

    kill(index: number): void {
        const daemon = this.daemons[index]!;
        daemon.process += 1;
        daemon.agent = undefined;
    }

    /** Pauses a daemon: its timers and its messages wait. */
    pause(index: number, ms: number): void {
        this.daemons[index]!.pausedUntil = this.now + ms;
    }

    applyLimits(limits: ReadonlyMap<TeamName, TeamLimit>): void {
        this.limits = limits;
        this.daemons.forEach(daemon => daemon.agent?.applyLimits(limits, this.clock(daemon)));
    }

    setMembers(index: number, members: readonly Address[]): void {
        const daemon = this.daemons[index]!;
        daemon.members = members;
        daemon.agent?.applyMembers(members, this.clock(daemon));
    }

    clock(daemon: Daemon): number {
        return (this.now - daemon.startedAt) * daemon.speed;
    }

    /** A request of a team at a daemon; returns false if the daemon does not run. */
    request(index: number, team: TeamName, maxWaitMs: number, onEnd: (result: Result) => void): boolean {
        const daemon = this.daemons[index]!;
        const { agent } = daemon;
        if (agent === undefined || daemon.pausedUntil > this.now) {
            return false;
        }
        const startedAt = this.now;
        const settle = (result: QuotaResult): void => onEnd({ ...result, waitedMs: this.now - startedAt });
        const result = agent.acquire(team, maxWaitMs, this.clock(daemon), settle);
        if (result === undefined) {
            agent.flush(this.clock(daemon));
            this.schedule(this.now + BUSY_TICK_MS, () => this.#tickWhileBusy(daemon, agent));
        }
        else {
            settle(result);
        }
        return true;
    }

    #createAgent(index: number, daemon: Daemon): void {
        const { bound, random } = this.options;
        daemon.agent = new QuotaAgent({
            self: daemon.address,
            incarnation: `${index}.${daemon.process}` as Incarnation,
            startedAt: 0,
            bound,
            random,
            sendAsk: (to, ask) =>
                this.#send(index, to, ask, (agent, now) => agent.receiveAsk(daemon.address, ask, now)),
            sendAnswer: (to, answer) =>
                this.#send(index, to, answer, (agent, now) => agent.receiveAnswer(daemon.address, answer, now)),
        });
        // A start reads the records of all daemons; the partition may hide some of them later.
        daemon.agent.applyMembers(this.daemons.map(({ address }) => address), this.clock(daemon));
        daemon.agent.applyMembers(daemon.members, this.clock(daemon));
        daemon.agent.applyLimits(this.limits, this.clock(daemon));
        this.#tick(daemon, daemon.agent);
    }

    #tick(daemon: Daemon, agent: QuotaAgent): void {
        if (daemon.agent !== agent) {
            return;
        }
        if (daemon.pausedUntil > this.now) {
            this.schedule(daemon.pausedUntil, () => this.#tick(daemon, agent));
            return;
        }
        agent.tick(this.clock(daemon));
        this.schedule(this.now + IDLE_TICK_MS, () => this.#tick(daemon, agent));
    }

    #tickWhileBusy(daemon: Daemon, agent: QuotaAgent): void {
        if (daemon.agent === agent && agent.isBusy && daemon.pausedUntil <= this.now) {
            agent.tick(this.clock(daemon));
            this.schedule(this.now + BUSY_TICK_MS, () => this.#tickWhileBusy(daemon, agent));
        }
    }

    #send(
        from: number,
        to: Address,
        message: QuotaAsk | QuotaAnswer,
        receive: (agent: QuotaAgent, now: number) => void,
    ): boolean {
        const target = this.#indexOf.get(to)!;
        const { random, delayMs, lossRatio, duplicateRatio } = this.options;
        this.onMessage(this.daemons[from]!.address, message);
        const copies = random() < duplicateRatio ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.connects(from, target) && random() >= lossRatio) {
                this.schedule(this.now + delayMs(), () => this.#deliver(target, receive));
            }
        }
        return true;
    }

    #deliver(target: number, receive: (agent: QuotaAgent, now: number) => void): void {
        const daemon = this.daemons[target]!;
        if (daemon.pausedUntil > this.now) {
            this.schedule(daemon.pausedUntil, () => this.#deliver(target, receive));
        }
        else if (daemon.agent !== undefined) {
            receive(daemon.agent, this.clock(daemon));
        }
    }
}
