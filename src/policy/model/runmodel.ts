/**
 * Runs a model: callers, hosts and troubles of a scenario, with the daemon's own policies between them.
 *
 * No network, no clock, no processes: the same scenario and seed give the same figures.
 */
import { medianShare } from "../admission/medianshare.js";
import type { RandomSource } from "../randomsource.js";
import { classOfCall } from "./priorityofcall.js";
import type { ClassTally } from "./classtally.js";
import { EventLoop } from "./eventloop.js";
import type { ModelClass } from "./modelclass.js";
import type { ModelEnd } from "./modelresult.js";
import { ModelGate } from "./modelgate.js";
import type { ModelHost } from "./modelhost.js";
import { ModelIngress } from "./modelingress.js";
import type { ModelSent } from "./sentrequest.js";
import type { ModelTally } from "./modeltally.js";
import type { ModelTrouble } from "./modeltrouble.js";
import { ModelUpstream } from "./modelupstream.js";
import type { Scenario } from "./scenario.js";

/** As many as the users' sites of this size have. */
const HALLS = 3;
/** Milliseconds; rates are by the second, and so are tallies. */
const SECOND_MS = 1000;
/** A caller that is refused comes back when told, at the most so much of its time left later. */
const HEEDED_SHARE = 1 / 3;
/** Tries of a caller. */
const TRIES = 2;

/** Once for each run. */
class Model {
    readonly #loop = new EventLoop();
    readonly #hosts: ModelHost[] = [];
    readonly #classes: ClassTally[];
    readonly #seconds: { asked: number; inTime: number; }[];

    constructor(private readonly scenario: Scenario, private readonly random: RandomSource) {
        this.#classes = scenario.classes.map(({ name, worth }) => (
            { name, worth, asked: 0, inTime: 0, late: 0, refused: 0, failed: 0 }
        ));
        const count = Math.ceil(scenario.lengthMs / SECOND_MS);
        this.#seconds = Array.from({ length: count }, () => ({ asked: 0, inTime: 0 }));
        for (const service of scenario.services) {
            for (let at = 0; at < service.upstreams; at++) {
                const upstream = new ModelUpstream(service, scenario, this.#loop, random);
                upstream.restart();
                const host = { name: `${service.name}-${at}`, service: service.name, hall: at % HALLS, upstream };
                this.#hosts.push({
                    ...host,
                    gate: this.#gate(service.name, upstream),
                    ingress: this.#ingress(host.hall),
                    isUp: true,
                    isEvacuated: false,
                    told: undefined,
                });
            }
        }
    }

    run(): ModelTally {
        const { classes, troubles, lengthMs } = this.scenario;
        classes.forEach((kind, at) => this.#arrive(kind, this.#classes[at]!));
        troubles.forEach(trouble => this.#plan(trouble));
        this.#loop.runUntil(lengthMs + Math.max(...classes.map(({ callerMs }) => callerMs)));
        return { classes: this.#classes, seconds: this.#seconds };
    }

    /** By the records of the service's hosts. */
    #usualShare(service: string): number | undefined {
        if (!this.scenario.policy.remembers) {
            return undefined;
        }
        const hosts = this.#hosts.filter(host => host.service === service);
        hosts.forEach(host => host.told = host.gate.learnedShare ?? host.told);
        return medianShare(hosts.map(host => host.told).filter(share => share !== undefined));
    }

    #gate(service: string, upstream: ModelUpstream): ModelGate {
        return new ModelGate({
            upstream,
            usualShare: () => this.#usualShare(service),
            loop: this.#loop,
            random: this.random,
            policy: this.scenario.policy,
            coldLimits: this.scenario.cold.limits,
            call: (name, parent, done) => this.#call(name, parent, done),
        });
    }

    #ingress(hall: number): ModelIngress {
        return new ModelIngress({ loop: this.#loop, random: this.random, hall });
    }

    #arrive(kind: ModelClass, tally: ClassTally): void {
        const next = (): void => {
            const now = this.#loop.now;
            if (now >= this.scenario.lengthMs) {
                return;
            }
            const perMs = kind.perSecond * this.#loadAt(now) / SECOND_MS;
            this.#loop.in(-Math.log(1 - this.random()) / perMs, next);
            this.#send(kind, tally);
        };
        this.#loop.in(this.random() * SECOND_MS / kind.perSecond, next);
    }

    #loadAt(now: number): number {
        const bursts = this.scenario.troubles.filter(trouble =>
            trouble.type === "burst" && now >= trouble.at && now < trouble.at + trouble.forMs
        );
        return bursts.reduce((times, trouble) => trouble.type === "burst" ? times * trouble.times : times, 1);
    }

    #send(kind: ModelClass, tally: ClassTally): void {
        const firstAt = this.#loop.now;
        const second = this.#seconds[Math.floor(firstAt / SECOND_MS)]!;
        tally.asked += 1;
        second.asked += 1;
        const attempt = (tries: number): void => {
            const startedAt = this.#loop.now;
            const up = this.#hosts.filter(host => host.isUp);
            const host = up[Math.floor(this.random() * up.length)];
            const leftMs = firstAt + kind.callerMs - startedAt;
            const onEnd = (end: ModelEnd): void => {
                const now = this.#loop.now;
                if (end.outcome === "served") {
                    const isInTime = now - firstAt <= kind.targetMs;
                    tally[isInTime ? "inTime" : "late"] += 1;
                    second.inTime += Number(isInTime);
                    return;
                }
                const left = firstAt + kind.callerMs - now;
                if (end.outcome === "refused" && tries < TRIES && left > 0) {
                    this.#loop.in(Math.min(end.retryAfterMs, left * HEEDED_SHARE), () => attempt(tries + 1));
                    return;
                }
                tally[end.outcome === "refused" ? "refused" : "failed"] += 1;
            };
            if (host === undefined) {
                onEnd({ outcome: "refused", reason: "busy", retryAfterMs: leftMs * HEEDED_SHARE });
                return;
            }
            const deadline = startedAt + Math.min(kind.timeLimitMs, leftMs);
            const { priority } = kind;
            host.ingress.serve({ kind, priority, firstAt, deadline, depth: 0 }, this.#hosts, onEnd);
        };
        attempt(1);
    }

    #call(name: string, parent: ModelSent, done: (end: ModelEnd) => void): void {
        const call = this.scenario.calls.find(other => other.name === name)!;
        const now = this.#loop.now;
        const caller = this.#hosts[Math.floor(this.random() * this.#hosts.length)]!;
        const deadline = Math.min(parent.deadline, now + call.timeLimitMs);
        const priority = classOfCall(this.scenario.policy.calls, call.priority, parent.priority);
        const sent = { kind: call, priority, firstAt: now, deadline, depth: parent.depth + 1 };
        caller.ingress.serve(sent, this.#hosts, done);
    }

    #plan(trouble: ModelTrouble): void {
        switch (trouble.type) {
            case "burst":
                return;
            case "loss":
                this.#loop.in(trouble.at, () => {
                    const all = this.#hosts.filter(host => host.service === trouble.service && host.isUp);
                    all.slice(0, trouble.count).forEach(host => this.#stop(host));
                });
                return;
            case "restart":
                this.#loop.in(trouble.at, () => {
                    const all = this.#hosts.filter(host => host.isUp);
                    all.forEach(host => this.#stop(host));
                    this.#loop.in(trouble.downMs, () => all.forEach(host => this.#start(host)));
                });
                return;
            case "evacuate":
                this.#loop.in(trouble.at, () => this.#evacuate(trouble.hall, trouble.forMs));
                return;
        }
    }

    /** Its upstreams are cold when they come back. */
    #evacuate(hall: number, forMs: number): void {
        const hosts = this.#hosts.filter(host => host.hall === hall);
        hosts.forEach(host => host.isEvacuated = true);
        this.#loop.in(forMs, () =>
            hosts.forEach(host => {
                host.isEvacuated = false;
                host.upstream.restart();
            }));
    }

    #stop(host: ModelHost): void {
        host.isUp = false;
        host.told = host.gate.learnedShare ?? host.told;
        host.gate.end();
    }

    #start(host: ModelHost): void {
        host.isUp = true;
        host.upstream.restart();
        host.gate = this.#gate(host.service, host.upstream);
        host.ingress = this.#ingress(host.hall);
    }
}

/** What became of the scenario's requests. */
export function runModel(scenario: Scenario, random: RandomSource): ModelTally {
    return new Model(scenario, random).run();
}
