/**
 * Runs a simulation: the callers, hosts and disturbances of a scenario, with the daemon's own policies between them.
 *
 * It uses no network, no clock and no processes, so the same scenario and seed give the same figures.
 */
import { medianShare } from "../admission/medianshare.js";
import type { RandomSource } from "../randomsource.js";
import type { ClassTally } from "./classtally.js";
import { EventLoop } from "./eventloop.js";
import type { ModelClass } from "./modelclass.js";
import { ModelGate } from "./modelgate.js";
import type { ModelHost } from "./modelhost.js";
import { ModelIngress } from "./modelingress.js";
import type { ModelResult } from "./modelresult.js";
import type { ModelTally } from "./modeltally.js";
import type { ModelTrouble } from "./modeltrouble.js";
import { ModelUpstream } from "./modelupstream.js";
import { priorityOfCall } from "./priorityofcall.js";
import type { Scenario } from "./scenario.js";
import type { SentRequest } from "./sentrequest.js";

/** The number of data halls of users' sites of this size. */
const HALLS = 3;
const MS_PER_SECOND = 1000;
/**
 * A refused caller retries after the time stated in the refusal, but after this share of its remaining time at the
 * latest.
 */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
const MAX_ATTEMPTS = 2;

/** Runs one simulation. */
class Model {
    readonly #loop = new EventLoop();
    readonly #hosts: ModelHost[] = [];
    readonly #classes: ClassTally[];
    readonly #seconds: { requests: number; inTime: number; }[];

    constructor(private readonly scenario: Scenario, private readonly random: RandomSource) {
        this.#classes = scenario.classes.map(({ name, worth }) => (
            { name, worth, requests: 0, inTime: 0, late: 0, refused: 0, failed: 0 }
        ));
        const count = Math.ceil(scenario.lengthMs / MS_PER_SECOND);
        this.#seconds = Array.from({ length: count }, () => ({ requests: 0, inTime: 0 }));
        for (const service of scenario.services) {
            for (let index = 0; index < service.upstreams; index++) {
                const upstream = new ModelUpstream(service, scenario, this.#loop, random);
                upstream.restart();
                const host = { name: `${service.name}-${index}`, service: service.name, hall: index % HALLS, upstream };
                this.#hosts.push({
                    ...host,
                    gate: this.#createGate(service.name, upstream),
                    ingress: this.#createIngress(host.hall),
                    isUp: true,
                    isEvacuated: false,
                    recordedKneeShare: undefined,
                });
            }
        }
    }

    run(): ModelTally {
        const { classes, troubles, lengthMs } = this.scenario;
        classes.forEach((kind, index) => this.#scheduleArrivals(kind, this.#classes[index]!));
        troubles.forEach(trouble => this.#scheduleTrouble(trouble));
        this.#loop.runUntil(lengthMs + Math.max(...classes.map(({ callerTimeoutMs }) => callerTimeoutMs)));
        return { classes: this.#classes, seconds: this.#seconds };
    }

    /** Returns the knee share by the records of the service's hosts, or undefined if none is known. */
    #serviceKneeShare(service: string): number | undefined {
        if (!this.scenario.policy.keepsKneeShare) {
            return undefined;
        }
        const hosts = this.#hosts.filter(host => host.service === service);
        hosts.forEach(host => host.recordedKneeShare = host.gate.learnedShare ?? host.recordedKneeShare);
        return medianShare(hosts.map(host => host.recordedKneeShare).filter(share => share !== undefined));
    }

    #createGate(service: string, upstream: ModelUpstream): ModelGate {
        return new ModelGate({
            upstream,
            serviceKneeShare: () => this.#serviceKneeShare(service),
            loop: this.#loop,
            random: this.random,
            policy: this.scenario.policy,
            coldLimits: this.scenario.cold.limits,
            sendCall: (name, parent, done) => this.#sendCall(name, parent, done),
        });
    }

    #createIngress(hall: number): ModelIngress {
        return new ModelIngress({ loop: this.#loop, random: this.random, hall });
    }

    #scheduleArrivals(kind: ModelClass, tally: ClassTally): void {
        const next = (): void => {
            const now = this.#loop.now;
            if (now >= this.scenario.lengthMs) {
                return;
            }
            const perMs = kind.perSecond * this.#loadFactor(now) / MS_PER_SECOND;
            this.#loop.schedule(-Math.log(1 - this.random()) / perMs, next);
            this.#send(kind, tally);
        };
        this.#loop.schedule(this.random() * MS_PER_SECOND / kind.perSecond, next);
    }

    #loadFactor(now: number): number {
        const bursts = this.scenario.troubles.filter(trouble =>
            trouble.type === "burst" && now >= trouble.atMs && now < trouble.atMs + trouble.durationMs
        );
        return bursts.reduce((factor, trouble) => trouble.type === "burst" ? factor * trouble.loadFactor : factor, 1);
    }

    #send(kind: ModelClass, tally: ClassTally): void {
        const firstAttemptAt = this.#loop.now;
        const second = this.#seconds[Math.floor(firstAttemptAt / MS_PER_SECOND)]!;
        tally.requests += 1;
        second.requests += 1;
        const attempt = (attempts: number): void => {
            const startedAt = this.#loop.now;
            const liveHosts = this.#hosts.filter(host => host.isUp);
            const host = liveHosts[Math.floor(this.random() * liveHosts.length)];
            const callerRemainingMs = firstAttemptAt + kind.callerTimeoutMs - startedAt;
            const onResult = (result: ModelResult): void => {
                const now = this.#loop.now;
                if (result.outcome === "served") {
                    const isInTime = now - firstAttemptAt <= kind.targetMs;
                    tally[isInTime ? "inTime" : "late"] += 1;
                    second.inTime += Number(isInTime);
                    return;
                }
                const remainingMs = firstAttemptAt + kind.callerTimeoutMs - now;
                if (result.outcome === "refused" && attempts < MAX_ATTEMPTS && remainingMs > 0) {
                    this.#loop.schedule(
                        Math.min(result.retryAfterMs, remainingMs * MAX_RETRY_DELAY_SHARE),
                        () => attempt(attempts + 1),
                    );
                    return;
                }
                tally[result.outcome === "refused" ? "refused" : "failed"] += 1;
            };
            if (host === undefined) {
                onResult({
                    outcome: "refused",
                    reason: "busy",
                    retryAfterMs: callerRemainingMs * MAX_RETRY_DELAY_SHARE,
                });
                return;
            }
            const deadline = startedAt + Math.min(kind.timeLimitMs, callerRemainingMs);
            const { priority } = kind;
            host.ingress.serve({ kind, priority, firstAttemptAt, deadline, depth: 0 }, this.#hosts, onResult);
        };
        attempt(1);
    }

    #sendCall(name: string, parent: SentRequest, done: (result: ModelResult) => void): void {
        const call = this.scenario.calls.find(candidate => candidate.name === name)!;
        const now = this.#loop.now;
        const caller = this.#hosts[Math.floor(this.random() * this.#hosts.length)]!;
        const deadline = Math.min(parent.deadline, now + call.timeLimitMs);
        const priority = priorityOfCall(this.scenario.policy.callPriority, call.priority, parent.priority);
        const sent = { kind: call, priority, firstAttemptAt: now, deadline, depth: parent.depth + 1 };
        caller.ingress.serve(sent, this.#hosts, done);
    }

    #scheduleTrouble(trouble: ModelTrouble): void {
        switch (trouble.type) {
            case "burst":
                return;
            case "loss":
                this.#loop.schedule(trouble.atMs, () => {
                    const hosts = this.#hosts.filter(host => host.service === trouble.service && host.isUp);
                    hosts.slice(0, trouble.count).forEach(host => this.#stopHost(host));
                });
                return;
            case "restart":
                this.#loop.schedule(trouble.atMs, () => {
                    const hosts = this.#hosts.filter(host => host.isUp);
                    hosts.forEach(host => this.#stopHost(host));
                    this.#loop.schedule(trouble.downMs, () => hosts.forEach(host => this.#startHost(host)));
                });
                return;
            case "evacuate":
                this.#loop.schedule(trouble.atMs, () => this.#evacuate(trouble.hall, trouble.durationMs));
                return;
        }
    }

    /** Evacuates a data hall for `durationMs`; its upstreams are cold afterwards. */
    #evacuate(hall: number, durationMs: number): void {
        const hosts = this.#hosts.filter(host => host.hall === hall);
        hosts.forEach(host => host.isEvacuated = true);
        this.#loop.schedule(durationMs, () =>
            hosts.forEach(host => {
                host.isEvacuated = false;
                host.upstream.restart();
            }));
    }

    #stopHost(host: ModelHost): void {
        host.isUp = false;
        host.recordedKneeShare = host.gate.learnedShare ?? host.recordedKneeShare;
        host.gate.stop();
    }

    #startHost(host: ModelHost): void {
        host.isUp = true;
        host.upstream.restart();
        host.gate = this.#createGate(host.service, host.upstream);
        host.ingress = this.#createIngress(host.hall);
    }
}

/** Runs the scenario and returns the results of its requests. */
export function runModel(scenario: Scenario, random: RandomSource): ModelTally {
    return new Model(scenario, random).run();
}
