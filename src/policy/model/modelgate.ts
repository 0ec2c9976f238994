/** Simulates a gate: the daemon's own admission and pace policies, in simulated time and with a simulated upstream. */
import { Admission } from "../admission/admission.js";
import { createLimit } from "../admission/createlimit.js";
import { LevelClock } from "../admission/levelclock.js";
import { RuleTimes } from "../admission/ruletimes.js";
import { waitLimit } from "../admission/waitlimit.js";
import { WorkTime } from "../admission/worktime.js";
import { ColdGuard } from "../cold/coldguard.js";
import { Pace } from "../failure/pace.js";
import type { LoadReport } from "../placement/loadreport.js";
import type { RandomSource } from "../randomsource.js";
import { SendRate } from "../rate/sendrate.js";
import { StatedRateLimiter } from "../rate/statedratelimiter.js";
import type { EventLoop } from "./eventloop.js";
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelRequest } from "./modelrequest.js";
import type { ModelResult } from "./modelresult.js";
import type { ModelUpstream } from "./modelupstream.js";
import type { Scenario } from "./scenario.js";
import type { SentRequest } from "./sentrequest.js";

/** The interval of pace reports while a slot is kept free because the upstream is slow. */
const PACE_PROBE_INTERVAL_MS = 20;
/** The share of a request's work that precedes its call. */
const WORK_SHARE_BEFORE_CALL = 0.5;

type GateDependencies = {
    readonly upstream: ModelUpstream;
    readonly loop: EventLoop;
    readonly random: RandomSource;
    readonly policy: ModelPolicy;
    /** Returns the knee share learned at the service's upstreams, also before a restart; undefined if none is known. */
    readonly serviceKneeShare: () => number | undefined;
    readonly coldLimits: Scenario["cold"]["limits"];
    /** Sends a call that a running request makes. */
    readonly sendCall: (name: string, parent: SentRequest, done: (result: ModelResult) => void) => void;
};

/** A gate with its queue and the state of its policies. A restart replaces it, and its state is lost. */
export class ModelGate {
    readonly #pace = new Pace();
    readonly #times = new RuleTimes();
    readonly #levels: LevelClock;
    readonly #admission: Admission<ModelRequest>;
    /** The result callbacks of the requests that are queued or running. */
    readonly #pending = new Set<(result: ModelResult) => void>();
    #isStopped = false;
    #isPaceProbeScheduled = false;
    #isSendScheduled = false;
    readonly #coldGuard: ColdGuard;

    constructor(private readonly deps: GateDependencies) {
        const { upstream: { slots }, loop, policy, coldLimits } = deps;
        this.#coldGuard = new ColdGuard(loop.now, coldLimits && { ...coldLimits, startMs: 0 });
        this.#levels = new LevelClock(slots, loop.now);
        const observedPace = policy.waitsForPace ? this.#pace : new Pace();
        this.#admission = new Admission(
            createLimit(policy.limit, slots, deps.serviceKneeShare),
            this.#times,
            this.#levels,
            observedPace,
            new SendRate(this.#coldGuard, new StatedRateLimiter()),
        );
    }

    get learnedShare(): number | undefined {
        return this.#admission.learnedShare;
    }

    get isStopped(): boolean {
        return this.#isStopped;
    }

    /** Stops the gate; all its requests fail. */
    stop(): void {
        this.#isStopped = true;
        [...this.#pending].forEach(done => done({ outcome: "failed" }));
    }

    report(): LoadReport {
        return { ...this.#admission.report(this.deps.loop.now), pace: this.#pace.lastReported };
    }

    /** Serves, queues or refuses a request; `onResult` is called once. */
    serve(request: ModelRequest, onResult: (result: ModelResult) => void): void {
        const done = (result: ModelResult): void => {
            if (this.#pending.delete(done)) {
                onResult(result);
            }
        };
        this.#pending.add(done);
        const { loop, upstream, policy } = this.deps;
        this.#pace.observe(upstream.pace, loop.now);
        if (policy.redirects && request.choices > 0 && this.#pace.isSlow(loop.now)) {
            done({ outcome: "refused", reason: "slow", retryAfterMs: 0 });
            return;
        }
        this.#probeIfNeeded();
        const decision = this.#admission.admit(request, loop.now);
        if (decision.type === "refuse") {
            done({ outcome: "refused", ...decision.refusal });
            return;
        }
        if (decision.type === "run") {
            this.#run(request, done);
            return;
        }
        this.#queue(request, done);
    }

    /** Probes the upstream if due. The response to a probe takes no time in the simulation. */
    #probeIfNeeded(): void {
        const { loop, upstream } = this.deps;
        if (this.#coldGuard.shouldProbe(loop.now)) {
            this.#coldGuard.recordProbe(loop.now);
            this.#coldGuard.recordProbeResponse(upstream.coldMs, loop.now, loop.now);
        }
    }

    #queue(request: ModelRequest, done: (result: ModelResult) => void): void {
        const { loop } = this.deps;
        const { afterMs, reason } = waitLimit(request.maxWaitMs, request.deadline - loop.now);
        const cancelTimeout = loop.schedule(afterMs, () => {
            if (!this.#isStopped && this.#admission.remove(request)) {
                done({ outcome: "refused", reason, retryAfterMs: this.#admission.retryAfterMs(request, loop.now) });
            }
        });
        request.start = () => {
            cancelTimeout();
            this.#run(request, done);
        };
        request.refuse = result => {
            cancelTimeout();
            done(result);
        };
        this.#schedulePaceProbe();
        this.#scheduleNextSend();
    }

    #run(request: ModelRequest, done: (result: ModelResult) => void): void {
        const { upstream, loop, random, sendCall } = this.deps;
        const { kind } = request.sent;
        const startedAt = loop.now;
        const work = new WorkTime(this.#levels, startedAt);
        const pace = upstream.pace;
        const workMs = upstream.workMs(kind.workMs, this.#admission.running);
        const finish = (result: ModelResult): void => {
            if (this.#isStopped) {
                return;
            }
            const serviceMs = result.outcome === "served" ? loop.now - startedAt : undefined;
            this.#pace.observe(upstream.pace, loop.now);
            this.#admission.recordFinished(
                serviceMs,
                { rule: request.rule, work: work.read(loop.now), pace },
                loop.now,
            );
            done(result);
            this.#startQueued();
        };
        const workFor = (ms: number, onDone: () => void): void => {
            const remainingMs = request.deadline - loop.now;
            loop.schedule(Math.min(ms, remainingMs), ms > remainingMs ? () => finish({ outcome: "failed" }) : onDone);
        };
        if (kind.calls === undefined || random() >= kind.calls.share) {
            workFor(workMs, () => finish({ outcome: "served" }));
            return;
        }
        const { name } = kind.calls;
        workFor(workMs * WORK_SHARE_BEFORE_CALL, () => {
            work.callBegan(loop.now);
            sendCall(name, request.sent, result => {
                work.callEnded(loop.now);
                if (result.outcome === "served") {
                    workFor(workMs * (1 - WORK_SHARE_BEFORE_CALL), () => finish(result));
                }
                else {
                    finish({ outcome: "failed" });
                }
            });
        });
    }

    #startQueued(): void {
        const { run: runnable, expired } = this.#admission.dequeue(this.deps.loop.now);
        expired.forEach(request => request.refuse({ outcome: "refused", reason: "deadline", retryAfterMs: 0 }));
        runnable.forEach(request => request.start());
        this.#schedulePaceProbe();
        this.#scheduleNextSend();
    }

    #scheduleNextSend(): void {
        const { loop } = this.deps;
        const nextSendAt = this.#admission.nextSendAt(loop.now);
        if (this.#isSendScheduled || nextSendAt === undefined) {
            return;
        }
        this.#isSendScheduled = true;
        loop.schedule(Math.max(1, nextSendAt - loop.now), () => {
            this.#isSendScheduled = false;
            if (!this.#isStopped) {
                this.#probeIfNeeded();
                this.#startQueued();
            }
        });
    }

    #schedulePaceProbe(): void {
        const { loop, upstream } = this.deps;
        if (this.#isPaceProbeScheduled || !this.#admission.isWaitingForPace(loop.now)) {
            return;
        }
        this.#isPaceProbeScheduled = true;
        loop.schedule(PACE_PROBE_INTERVAL_MS, () => {
            this.#isPaceProbeScheduled = false;
            if (!this.#isStopped) {
                this.#pace.observe(upstream.pace, loop.now);
                this.#startQueued();
            }
        });
    }
}
