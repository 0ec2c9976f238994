/**
 * Admits, queues and runs all requests to one upstream.
 *
 * Owns the upstream's HTTP client, slots and queue. The checks that refuse a request before it queues are in
 * gatechecks.ts. Every refusal is a HopError; its outcome is `not-run` exactly if the ledger or the upstream proves
 * that the request has not run. The policies are in policy/admission and policy/failure.
 */
import type { Upstream } from "../config/upstream.js";
import type { GateCall } from "../hop/gatecall.js";
import type { GateResponse } from "../hop/gateresponse.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Admission } from "../policy/admission/admission.js";
import { createLimit } from "../policy/admission/createlimit.js";
import { LevelClock } from "../policy/admission/levelclock.js";
import { RuleTimes } from "../policy/admission/ruletimes.js";
import { Pace } from "../policy/failure/pace.js";
import { unresponsiveAfterMs } from "../policy/failure/unresponsiveafterms.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { withMinServiceTime } from "../policy/placement/withminservicetime.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { BodyReceiver } from "./bodyreceiver.js";
import type { CloseReason } from "./closereason.js";
import type { ColdProbe } from "./coldprobe.js";
import { GateChecks } from "./gatechecks.js";
import type { GateDependencies } from "./gatedependencies.js";
import { GateLog } from "./gatelog.js";
import { GateRefusals } from "./gaterefusals.js";
import { GateRequest } from "./gaterequest.js";
import { RequestRunner } from "./requestrunner.js";
import { SlotQueue } from "./slotqueue.js";
import { UpstreamEndpoint } from "./upstreamendpoint.js";

/** Requests wait for a pace probe, so its timeout is only half of the time for which a pace report is fresh. */
const PACE_PROBE_TIMEOUT_MS = 15;

/** Serves the requests for one upstream. */
export class Gate {
    readonly #checks: GateChecks;
    readonly #log: GateLog;
    readonly #endpoint: UpstreamEndpoint;
    readonly #admission: Admission<GateRequest>;
    readonly #refusals: GateRefusals;
    readonly #queue: SlotQueue;
    readonly #bodies: BodyReceiver;
    readonly #runner: RequestRunner;

    constructor(readonly upstream: Upstream, private readonly deps: GateDependencies) {
        const { clock, ledger, dialect } = deps;
        const levels = new LevelClock(upstream.slots, clock());
        this.#endpoint = new UpstreamEndpoint(upstream, deps, {
            onPace: report => this.#checks.recordPace(report),
            onLimitLowered: () => this.#queue.reevaluate(),
            onLeaving: reason => this.close(reason),
            onNotLeaving: () => this.reopen("upstream"),
        });
        const { healthProbe, coldProbe, sendRate } = this.#endpoint;
        this.#log = new GateLog(upstream.name, dialect);
        const pace = new Pace();
        const ruleTimes = new RuleTimes();
        this.#checks = new GateChecks({
            ...deps,
            pace,
            workMs: rule => ruleTimes.meanMs(rule),
            upstream: upstream.name,
            mayProbePace: () => healthProbe.mayProbeLoad && deps.mayProbePace(),
            probe: () => healthProbe.probe(PACE_PROBE_TIMEOUT_MS),
            repeatsInFlight: () => this.#runner.repeatCount,
        });
        const limit = createLimit(deps.limit, upstream.slots, () => deps.medianLimitShare(upstream.service));
        this.#admission = new Admission(limit, ruleTimes, levels, pace, sendRate);
        this.#refusals = new GateRefusals(
            fields => this.createMetadata(fields),
            reason => deps.onHeldBack(upstream.service, reason),
        );
        this.#queue = new SlotQueue({
            clock,
            ledger,
            admission: this.#admission,
            refusals: this.#refusals,
            refreshPace: () => this.#checks.refreshPace(),
            probeCold: () => coldProbe.probeIfDue(),
        });
        this.#bodies = new BodyReceiver({ clock, dialect, queue: this.#queue, refusals: this.#refusals });
        this.#runner = new RequestRunner(upstream, {
            ...deps,
            endpoint: this.#endpoint,
            levels,
            checks: this.#checks,
            queue: this.#queue,
            refusals: this.#refusals,
            log: this.#log,
            report: () => this.report(),
            createMetadata: fields => this.createMetadata(fields),
        });
    }

    get cold(): ColdProbe {
        return this.#endpoint.coldProbe;
    }

    get finished(): number {
        return this.#runner.finishedCount;
    }

    get refused(): number {
        return this.#refusals.count;
    }

    /** True while the gate takes no new requests. */
    get isClosed(): boolean {
        return this.#checks.isClosed;
    }

    /** Number of requests that run or are queued. */
    get pendingCount(): number {
        return this.#admission.running + this.#admission.queued;
    }

    /** Fraction of the slots in use above which the upstream slows down (its knee); undefined while it is not known. */
    get learnedShare(): number | undefined {
        return this.#admission.learnedShare;
    }

    /** Number of slots that can be offered to requests queued at sibling upstreams. */
    get freeSlots(): number {
        return this.#admission.freeSlots(this.deps.clock());
    }

    get queuedCount(): number {
        return this.#admission.queued;
    }

    /** Returns the load report that peers receive. */
    report(): LoadReport {
        const now = this.deps.clock();
        const report = { ...this.#admission.report(now), pace: this.#checks.pace };
        return withMinServiceTime(report, this.#runner.meanAgeMs(now));
    }

    /** True while operators have evacuated the upstream's data hall. */
    get isEvacuated(): boolean {
        return this.#checks.isClosedFor("evacuated");
    }

    /** Rate limit that the upstream states, in requests a second; undefined while it states none. */
    get limitPerSecond(): number | undefined {
        return this.#endpoint.signals.rateLimit.perSecond;
    }

    /** Stops taking new requests. `evacuated` hands back all queued requests, `ending` those with another upstream. */
    close(reason: CloseReason): void {
        this.#checks.close(reason);
        if (reason === "evacuated" || reason === "ending") {
            this.#queue.redirect(({ choices }) => reason === "evacuated" || choices > 0);
        }
    }

    /** Removes a reason for being closed; the gate takes new requests once none is left. */
    reopen(reason: CloseReason): void {
        this.#checks.reopen(reason);
    }

    /** Drops idle connections and aborts overdue requests, after a connection was found to be unresponsive. */
    dropSuspectConnections(): void {
        this.#endpoint.client.destroyIdle();
        this.#runner.abortUnanswered(unresponsiveAfterMs(this.report().baseMs));
    }

    /** Returns true if the upstream has served the request successfully in its present incarnation. */
    hasServed(request: RequestKey): boolean {
        return this.#runner.hasServed(request);
    }

    /** Aborts the running attempts of a request, unless it may run only once. */
    cancel(request: RequestKey): void {
        this.#runner.cancel(request);
    }

    /** Closes the connections to the upstream after the requests in flight have ended. */
    shutDown(): Promise<void> {
        return this.#endpoint.client.close();
    }

    /** Serves a request; throws a HopError if it is refused or fails. */
    async serve(call: GateCall): Promise<GateResponse> {
        const { clock, identity } = this.deps;
        const request = new GateRequest(call, identity, clock(), this.#bodies.keyOf(call));
        call.cancel.onAbort(() => request.cancelledAt = clock());
        try {
            this.#endpoint.signals.recordPeerLimit(call.head.limitPerSecond);
            await this.cold.waitUntilKnown();
            await this.#admit(request);
            await this.#queue.enter(request);
            await this.#bodies.receive(request);
            return await this.#runner.run(request);
        }
        catch (err) {
            this.#log.logFailure(request, err, this.report());
            throw err;
        }
    }

    /** Probes the upstream's health endpoint and applies what it reports: its load, and whether it is leaving. */
    checkHealth(timeoutMs: number): Promise<void> {
        return this.#endpoint.healthProbe.probeIfAllowed(timeoutMs);
    }

    /** Reserves a slot for a sibling's request; returns false if the gate is closed or no slot is free. */
    offer(id: string): boolean {
        return !this.isClosed && this.#queue.offers.create(id, this.deps.clock());
    }

    /** Releases the slot of an offer that was not used. */
    withdrawOffer(id: string): void {
        if (this.#queue.offers.withdraw(id)) {
            this.#queue.startNext();
        }
    }

    /** Hands queued requests back to their ingresses, one for each offered slot, and returns their number. */
    handBack(goTo: UpstreamName, offers: readonly string[]): number {
        return this.#queue.handBack(goTo, offers);
    }

    /** Creates the metadata that accompanies a response or a refusal. */
    createMetadata(fields: Partial<ResponseMetadata> = {}): ResponseMetadata {
        return {
            ...this.deps.identity.responseMetadata(this.deps.clock()),
            report: fields.report ?? this.report(),
            limitPerSecond: this.limitPerSecond,
            ending: this.#checks.isClosedFor("ending") || undefined,
            ...fields,
        };
    }

    async #admit(request: GateRequest): Promise<void> {
        const refusal = this.#runner.quarantineRefusal(request);
        if (refusal !== undefined) {
            throw refusal;
        }
        const reason = await this.#checks.refusalReason(request);
        if (reason !== undefined) {
            throw this.#refusals.create(reason);
        }
        this.deps.onChange();
    }
}
