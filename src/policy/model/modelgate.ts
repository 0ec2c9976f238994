/** A gate of a model: the daemon's own admission and pace, with the model's time and upstream. */
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
import type { ModelEnd } from "./modelresult.js";
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelRequest } from "./modelrequest.js";
import type { ModelSent } from "./sentrequest.js";
import type { ModelUpstream } from "./modelupstream.js";
import type { Scenario } from "./scenario.js";

/** A gate asks for the pace so often while it keeps a slot free. */
const ASK_EVERY_MS = 20;
/** Of a run's work, before it makes its call. */
const BEFORE_CALL = 0.5;

type GateDependencies = {
    readonly upstream: ModelUpstream;
    readonly loop: EventLoop;
    readonly random: RandomSource;
    readonly policy: ModelPolicy;
    /** What was learnt of the service's upstreams, before a restart too. */
    readonly usualShare: () => number | undefined;
    readonly coldLimits: Scenario["cold"]["limits"];
    /** Sends a call that a run makes. */
    readonly call: (name: string, parent: ModelSent, done: (end: ModelEnd) => void) => void;
};

/** Lost with all that it holds at a restart. */
export class ModelGate {
    readonly #pace = new Pace();
    readonly #times = new RuleTimes();
    readonly #levels: LevelClock;
    readonly #admission: Admission<ModelRequest>;
    /** Ends of the requests that are here. */
    readonly #open = new Set<(end: ModelEnd) => void>();
    #isGone = false;
    #isAsking = false;
    #isWaitingForCold = false;
    readonly #cold: ColdGuard;

    constructor(private readonly deps: GateDependencies) {
        const { upstream: { slots }, loop, policy, coldLimits } = deps;
        this.#cold = new ColdGuard(loop.now, coldLimits && { ...coldLimits, startMs: 0 });
        this.#levels = new LevelClock(slots, loop.now);
        const heeded = policy.waitsForPace ? this.#pace : new Pace();
        this.#admission = new Admission(
            createLimit(policy.limit, slots, deps.usualShare),
            this.#times,
            this.#levels,
            heeded,
            new SendRate(this.#cold, new StatedRateLimiter()),
        );
    }

    get learnedShare(): number | undefined {
        return this.#admission.learnedShare;
    }

    get isGone(): boolean {
        return this.#isGone;
    }

    /** Cuts off what is here. */
    end(): void {
        this.#isGone = true;
        [...this.#open].forEach(done => done({ outcome: "failed" }));
    }

    report(): LoadReport {
        return { ...this.#admission.report(this.deps.loop.now), pace: this.#pace.lastReported };
    }

    /** `onEnd` is called once. */
    serve(request: ModelRequest, onEnd: (end: ModelEnd) => void): void {
        const done = (end: ModelEnd): void => {
            if (this.#open.delete(done)) {
                onEnd(end);
            }
        };
        this.#open.add(done);
        const { loop, upstream, policy } = this.deps;
        this.#pace.observe(upstream.pace, loop.now);
        if (policy.moves && request.choices > 0 && this.#pace.isSlow(loop.now)) {
            done({ outcome: "refused", reason: "slow", retryAfterMs: 0 });
            return;
        }
        this.#askIfCold();
        const verdict = this.#admission.admit(request, loop.now);
        if (verdict.type === "refuse") {
            done({ outcome: "refused", ...verdict.refusal });
            return;
        }
        if (verdict.type === "run") {
            this.#run(request, done);
            return;
        }
        this.#wait(request, done);
    }

    /** An answer takes no time here. */
    #askIfCold(): void {
        const { loop, upstream } = this.deps;
        if (this.#cold.shouldProbe(loop.now)) {
            this.#cold.recordProbe(loop.now);
            this.#cold.recordProbeResponse(upstream.coldMs, loop.now, loop.now);
        }
    }

    #wait(request: ModelRequest, done: (end: ModelEnd) => void): void {
        const { loop } = this.deps;
        const { afterMs, reason } = waitLimit(request.maxWaitMs, request.deadline - loop.now);
        const forget = loop.in(afterMs, () => {
            if (!this.#isGone && this.#admission.remove(request)) {
                done({ outcome: "refused", reason, retryAfterMs: this.#admission.retryAfterMs(request, loop.now) });
            }
        });
        request.grant = () => {
            forget();
            this.#run(request, done);
        };
        request.refuse = end => {
            forget();
            done(end);
        };
        this.#watchPace();
        this.#watchCold();
    }

    #run(request: ModelRequest, done: (end: ModelEnd) => void): void {
        const { upstream, loop, random, call } = this.deps;
        const { kind } = request.sent;
        const startedAt = loop.now;
        const work = new WorkTime(this.#levels, startedAt);
        const pace = upstream.pace;
        const workMs = upstream.workMs(kind.workMs, this.#admission.running);
        const finish = (end: ModelEnd): void => {
            if (this.#isGone) {
                return;
            }
            const served = end.outcome === "served" ? loop.now - startedAt : undefined;
            this.#pace.observe(upstream.pace, loop.now);
            this.#admission.recordFinished(served, { rule: request.rule, work: work.read(loop.now), pace }, loop.now);
            done(end);
            this.#advance();
        };
        const after = (ms: number, then: () => void): void => {
            const leftMs = request.deadline - loop.now;
            loop.in(Math.min(ms, leftMs), ms > leftMs ? () => finish({ outcome: "failed" }) : then);
        };
        if (kind.calls === undefined || random() >= kind.calls.share) {
            after(workMs, () => finish({ outcome: "served" }));
            return;
        }
        const { name } = kind.calls;
        after(workMs * BEFORE_CALL, () => {
            work.callBegan(loop.now);
            call(name, request.sent, end => {
                work.callEnded(loop.now);
                if (end.outcome === "served") {
                    after(workMs * (1 - BEFORE_CALL), () => finish(end));
                }
                else {
                    finish({ outcome: "failed" });
                }
            });
        });
    }

    #advance(): void {
        const { run, expired: late } = this.#admission.dequeue(this.deps.loop.now);
        late.forEach(request => request.refuse({ outcome: "refused", reason: "deadline", retryAfterMs: 0 }));
        run.forEach(request => request.grant());
        this.#watchPace();
        this.#watchCold();
    }

    #watchCold(): void {
        const { loop } = this.deps;
        const opensAt = this.#admission.nextSendAt(loop.now);
        if (this.#isWaitingForCold || opensAt === undefined) {
            return;
        }
        this.#isWaitingForCold = true;
        loop.in(Math.max(1, opensAt - loop.now), () => {
            this.#isWaitingForCold = false;
            if (!this.#isGone) {
                this.#askIfCold();
                this.#advance();
            }
        });
    }

    #watchPace(): void {
        const { loop, upstream } = this.deps;
        if (this.#isAsking || !this.#admission.isWaitingForPace(loop.now)) {
            return;
        }
        this.#isAsking = true;
        loop.in(ASK_EVERY_MS, () => {
            this.#isAsking = false;
            if (!this.#isGone) {
                this.#pace.observe(upstream.pace, loop.now);
                this.#advance();
            }
        });
    }
}
