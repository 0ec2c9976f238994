/**
 * Runs requests that have a slot at a gate's upstream.
 *
 * Owns the requests in flight and the detection of crashes. Every failure is a HopError that states what is proven
 * about the request.
 */
import type { Upstream } from "../config/upstream.js";
import type { GateResponse } from "../hop/gateresponse.js";
import type { HopError } from "../hop/hoperror.js";
import { InvalidResponseError } from "../http/invalidresponseerror.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import type { LevelClock } from "../policy/admission/levelclock.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { RecentSet } from "../policy/recentset.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { ActiveRuns } from "./activeruns.js";
import { CrashDetector } from "./crashdetector.js";
import type { GateChecks } from "./gatechecks.js";
import type { GateDependencies } from "./gatedependencies.js";
import type { GateLog } from "./gatelog.js";
import type { GateRefusals } from "./gaterefusals.js";
import type { GateRequest } from "./gaterequest.js";
import type { SlotQueue } from "./slotqueue.js";
import type { UpstreamEndpoint } from "./upstreamendpoint.js";
import { UpstreamError } from "./upstreamerror.js";
import { UpstreamRun } from "./upstreamrun.js";

const logger = log("gate");

/** An upstream on the same host accepts or refuses a connection within milliseconds. */
const CRASH_PROBE_TIMEOUT_MS = 100;

/**
 * Number of remembered requests that were served successfully; at most about 200 KB. A request that is frequent enough
 * to be in flight at three simultaneous crashes, as when a rack loses power, is among them.
 */
const MAX_SERVED_KEYS = 2048;

/** Dependencies that the gate provides. */
type RunnerDependencies = GateDependencies & {
    readonly endpoint: UpstreamEndpoint;
    readonly levels: LevelClock;
    readonly checks: GateChecks;
    readonly queue: SlotQueue;
    readonly refusals: GateRefusals;
    readonly log: GateLog;
    readonly report: () => LoadReport;
    readonly createMetadata: (fields: Partial<ResponseMetadata>) => ResponseMetadata;
};

/** Runs the requests of one gate. */
export class RequestRunner {
    readonly #activeRuns = new ActiveRuns();
    readonly #crashDetector: CrashDetector;
    /**
     * A request that the upstream has served successfully in this incarnation does not crash it. Another incarnation
     * may run another release; it gets a gate of its own.
     */
    readonly #servedKeys = new RecentSet<RequestKey>(MAX_SERVED_KEYS);

    constructor(private readonly upstream: Upstream, private readonly deps: RunnerDependencies) {
        this.#crashDetector = this.#createCrashDetector();
    }

    get finishedCount(): number {
        return this.#activeRuns.finishedCount;
    }

    /** Number of repeats that are running. */
    get repeatCount(): number {
        return this.#activeRuns.repeatCount;
    }

    /** Returns how long the running requests have run on average, in milliseconds; 0 if none runs. */
    meanAgeMs(now: number): number {
        return this.#activeRuns.meanAgeMs(now);
    }

    /** Aborts each run that has no response `afterMs` milliseconds after its start. */
    abortUnanswered(afterMs: number): void {
        this.#activeRuns.abortUnanswered(afterMs);
    }

    /** Returns true if the upstream has served the request successfully. */
    hasServed(request: RequestKey): boolean {
        return this.#servedKeys.has(request);
    }

    /** Aborts the runs of a request that crashes upstreams, unless it may run only once. */
    cancel(request: RequestKey): void {
        this.#activeRuns.cancel(request);
    }

    /** Returns the refusal of a quarantined request; undefined for any other request. */
    quarantineRefusal({ key }: GateRequest): HopError | undefined {
        const retryAfterMs = this.deps.quarantinedForMs(key);
        return retryAfterMs === undefined ? undefined : this.deps.refusals.create("quarantined", { retryAfterMs });
    }

    /** A slot may be granted before the leaving of the caller has been read, which arrived while the process did not run. */
    async #callerLeftRefusal({ call: { cancel, settleCancel } }: GateRequest): Promise<HopError | undefined> {
        await settleCancel?.(this.deps.clock());
        return cancel.aborted ? this.deps.refusals.create("caller-left") : undefined;
    }

    /** Runs a request that has a slot; throws a HopError if it does not get a response. */
    async run(request: GateRequest): Promise<GateResponse> {
        const { clock, checks, queue, refusals } = this.deps;
        const refusal = await this.#callerLeftRefusal(request) ?? this.quarantineRefusal(request);
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
            const report = this.deps.report();
            this.deps.log.logResponse(request, response.status, startedAt - request.arrivedAt, tookMs, report);
            return {
                ...response,
                metadata: this.deps.createMetadata({ tookMs, calls, retriedBelow, unframed, report }),
            };
        }
        catch (err) {
            const arrived = request.writtenAt !== undefined;
            if (arrived) {
                this.#recordArrival(request);
            }
            throw this.#toHopError(err, arrived);
        }
    }

    /** `pace` is the upstream's pace when the run starts. */
    #createRun(request: GateRequest, pace: number | undefined): UpstreamRun {
        const { checks, queue, onChange } = this.deps;
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
            this.deps.onServed(key);
        };
        const run = new UpstreamRun(request, {
            ...this.deps,
            client: this.deps.endpoint.client,
            crashDetector: this.#crashDetector,
            onEnd,
            onServed,
        });
        return run;
    }

    /** The end of an upstream that has announced that it is leaving is not a crash. */
    #createCrashDetector(): CrashDetector {
        const { clock, onCrash, endpoint, checks, mayProbeCrash } = this.deps;
        const { name: upstream, service } = this.upstream;
        return new CrashDetector({
            upstream,
            clock,
            mayProbe: mayProbeCrash,
            probe: () => endpoint.healthProbe.probe(CRASH_PROBE_TIMEOUT_MS),
            onCrash: (crash, requests) => {
                if (!checks.isUpstreamLeaving) {
                    onCrash(service, crash, requests.filter(request => !this.#servedKeys.has(request)));
                }
            },
        });
    }

    #recordArrival({ call: { head } }: GateRequest): void {
        this.deps.onArrival(this.upstream.service, head.arrival);
    }

    /** `hasArrived`: the upstream has received the request. */
    #toHopError(err: unknown, hasArrived: boolean): HopError {
        const reason = err instanceof UpstreamError ? err.reason : "gate-error";
        if (reason === "gate-error") {
            logger.warn("A request failed in its gate with an unexpected error; whether it has run is unknown.", err, {
                upstream: this.upstream.name,
            });
        }
        const cause = err instanceof UpstreamError ? err.cause : undefined;
        if (cause instanceof InvalidResponseError) {
            logger.warn("An upstream's response is invalid and was not passed on.", cause, {
                upstream: this.upstream.name,
            });
        }
        this.deps.checks.recordFailure(reason);
        return this.deps.refusals.create(reason, { arrived: hasArrived });
    }
}
