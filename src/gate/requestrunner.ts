/**
 * Runs requests at a gate's upstream that have a slot.
 *
 * Owns what is under way there, and the watch for an upstream that crashes. Each error is a HopError that says what is proven.
 */
import type { Upstream } from "../config/upstream.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { HopError } from "../hop/hoperror.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import type { LevelClock } from "../policy/admission/levelclock.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { RecentSet } from "../policy/recentset.js";
import type { AnswerNote } from "../wire/answernote.js";
import { ActiveRuns } from "./activeruns.js";
import { CrashDetector } from "./crashdetector.js";
import type { GateChecks } from "./gatechecks.js";
import type { GateLog } from "./gatelog.js";
import type { GateParts } from "./gateparts.js";
import type { GateRefusals } from "./gaterefusals.js";
import type { GateRequest } from "./gaterequest.js";
import type { SlotQueue } from "./slotqueue.js";
import type { UpstreamEndpoint } from "./upstreamendpoint.js";
import { UpstreamError } from "./upstreamerror.js";
import { UpstreamRun } from "./upstreamrun.js";

const logger = log("gate");

/** An upstream on the same host takes a connection within milliseconds, or refuses it. */
const CRASH_PROBE_TIMEOUT_MS = 100;

/**
 * Requests that are known to have been served well; some 200 KB at the most. What is asked often enough to be under way at three crashes
 * at once, as when a rack loses power, is among them.
 */
const MAX_SERVED_KEYS = 2048;

/** What the gate lends. */
type RunnerParts = GateParts & {
    readonly endpoint: UpstreamEndpoint;
    readonly levels: LevelClock;
    readonly checks: GateChecks;
    readonly queue: SlotQueue;
    readonly refusals: GateRefusals;
    readonly log: GateLog;
    readonly report: () => LoadReport;
    readonly createNote: (fields: Partial<AnswerNote>) => AnswerNote;
};

/** One for each gate. */
export class RequestRunner {
    readonly #activeRuns = new ActiveRuns();
    readonly #crashDetector: CrashDetector;
    /** What the upstream has served well in this life does not crash it; a new life may be of another release, and has a gate of its own. */
    readonly #servedKeys = new RecentSet<RequestKey>(MAX_SERVED_KEYS);

    constructor(private readonly upstream: Upstream, private readonly parts: RunnerParts) {
        this.#crashDetector = this.#createCrashDetector();
    }

    get finished(): number {
        return this.#activeRuns.finished;
    }

    /** Those under way that are not the first of their request. */
    get repeatCount(): number {
        return this.#activeRuns.repeatCount;
    }

    /** How long what runs has run, on average; 0 while nothing runs. */
    meanAgeMs(now: number): number {
        return this.#activeRuns.meanAgeMs(now);
    }

    /** Has each given up that has no answer so long after its start. */
    abortUnanswered(afterMs: number): void {
        this.#activeRuns.abortUnanswered(afterMs);
    }

    /** True when the upstream has served the request well. */
    hasServed(request: RequestKey): boolean {
        return this.#servedKeys.has(request);
    }

    /** Calls off what runs of a request that may run again elsewhere: its upstream is to be spared. */
    cancel(request: RequestKey): void {
        this.#activeRuns.cancel(request);
    }

    /** The refusal of a quarantined request; undefined for any other. */
    quarantineRefusal({ key }: GateRequest): HopError | undefined {
        const retryAfterMs = this.parts.quarantinedForMs(key);
        return retryAfterMs === undefined ? undefined : this.parts.refusals.create("quarantined", { retryAfterMs });
    }

    /** Runs a request whose slot is free; throws a HopError. */
    async run(request: GateRequest): Promise<GateAnswer> {
        const { clock, checks, queue, refusals } = this.parts;
        const refusal = this.quarantineRefusal(request);
        if (refusal !== undefined) {
            queue.releaseUnused(request);
            throw refusal;
        }
        if (!queue.start(request)) {
            throw refusals.create("deadline-or-revoked");
        }
        const startedAt = clock();
        const { pace } = checks;
        const run = this.#createRun(request, pace);
        this.#activeRuns.add(run);
        try {
            const { calls, retriedBelow, unframed, ...response } = await run.send();
            this.#recordArrival(request);
            checks.recordResponse();
            const tookMs = clock() - request.arrivedAt;
            const report = this.parts.report();
            this.parts.log.logResponse(request, response.status, startedAt - request.arrivedAt, tookMs, report);
            return { ...response, note: this.parts.createNote({ tookMs, calls, retriedBelow, unframed, report }) };
        }
        catch (err) {
            const arrived = !(err instanceof UpstreamError && err.reason === "unreachable");
            if (arrived) {
                this.#recordArrival(request);
            }
            throw this.#toHopError(err, arrived);
        }
    }

    /** `pace` is that of the upstream when the run begins. */
    #createRun(request: GateRequest, pace: number | undefined): UpstreamRun {
        const { checks, queue, onChange } = this.parts;
        const onEnd = (
            serviceMs: number | undefined,
            work: Float64Array,
            calls: ReadonlyMap<ServiceName, number>,
        ): void => {
            checks.recordCalls(calls);
            this.#activeRuns.remove(run);
            queue.release(serviceMs, { rule: request.rule, work, pace });
            onChange();
        };
        const onServed = (key: RequestKey): void => {
            this.#servedKeys.add(key);
            this.parts.onServed(key);
        };
        const run = new UpstreamRun(request, {
            ...this.parts,
            client: this.parts.endpoint.client,
            crashDetector: this.#crashDetector,
            onEnd,
            onServed,
        });
        return run;
    }

    /** One that ends as it had announced does not crash. */
    #createCrashDetector(): CrashDetector {
        const { clock, onCrash, endpoint, checks, mayAskForCrash: mayProbe } = this.parts;
        const { name: upstream, service } = this.upstream;
        return new CrashDetector({
            upstream,
            clock,
            mayProbe,
            probe: () => endpoint.healthProbe.probe(CRASH_PROBE_TIMEOUT_MS),
            onCrash: (crash, requests) => {
                if (!checks.isUpstreamLeaving) {
                    onCrash(service, crash, requests.filter(request => !this.#servedKeys.has(request)));
                }
            },
        });
    }

    #recordArrival({ call: { head } }: GateRequest): void {
        this.parts.onArrival(this.upstream.service, head.arrival);
    }

    /** `arrived`: the upstream has received the request. */
    #toHopError(err: unknown, hasArrived: boolean): HopError {
        const reason = err instanceof UpstreamError ? err.reason : "gate-error";
        if (reason === "gate-error") {
            logger.warn("A request failed at its gate.", err, { upstream: this.upstream.name });
        }
        this.parts.checks.recordFailure(reason);
        return this.parts.refusals.create(reason, { arrived: hasArrived });
    }
}
