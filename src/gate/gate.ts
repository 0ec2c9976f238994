/**
 * The only way in to one upstream.
 *
 * Owns the upstream's client, its slots and queue; gatechecks.ts says what it refuses at once. Every refusal is a HopError whose
 * outcome is `not-run` exactly when the ledger or the upstream proves it. What is decided of a request stands in
 * policy/admission and policy/failure.
 */
import type { Upstream } from "../config/upstream.js";
import { requestKeyOf } from "../dialect/requestkeyof.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { GateCall } from "../hop/gatecall.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Admission } from "../policy/admission/admission.js";
import { LevelClock } from "../policy/admission/levelclock.js";
import { makeLimit } from "../policy/admission/makelimit.js";
import { RuleTimes } from "../policy/admission/ruletimes.js";
import { Pace } from "../policy/failure/pace.js";
import { silentAfter } from "../policy/failure/silentafter.js";
import { atLeast } from "../policy/placement/atleast.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { AnswerNote } from "../wire/answernote.js";
import type { CloseReason } from "./closereason.js";
import type { ColdProbe } from "./coldprobe.js";
import { GateChecks } from "./gatechecks.js";
import { GateLog } from "./gatelog.js";
import type { GateParts } from "./gateparts.js";
import { GateRefusals } from "./gaterefusals.js";
import { GateRequest } from "./gaterequest.js";
import { RequestRunner } from "./requestrunner.js";
import { SlotQueue } from "./slotqueue.js";
import { UpstreamEndpoint } from "./upstreamendpoint.js";

/** A question of the pace holds a request up: half of the time for which its answer is believed. */
const PACE_PROBE_TIMEOUT_MS = 15;

/** Serves the requests for one upstream. */
export class Gate {
    readonly #checks: GateChecks;
    readonly #log: GateLog;
    readonly #endpoint: UpstreamEndpoint;
    readonly #admission: Admission<GateRequest>;
    readonly #refusals: GateRefusals;
    readonly #queue: SlotQueue;
    readonly #runner: RequestRunner;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        const { clock, ledger, dialect } = parts;
        const levels = new LevelClock(upstream.slots, clock());
        this.#endpoint = new UpstreamEndpoint(upstream, parts, {
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
            ...parts,
            pace,
            workMs: rule => ruleTimes.longMs(rule),
            upstream: upstream.name,
            mayAsk: () => healthProbe.mayProbeLoad && parts.mayAsk(),
            probe: () => healthProbe.probe(PACE_PROBE_TIMEOUT_MS),
            repeatsInFlight: () => this.#runner.repeatCount,
        });
        this.#admission = new Admission(
            makeLimit(parts.limit, upstream.slots, () => parts.usualShare(upstream.service)),
            ruleTimes,
            levels,
            pace,
            sendRate,
        );
        this.#refusals = new GateRefusals(
            more => this.note(more),
            reason => parts.onHeldBack(upstream.service, reason),
        );
        this.#queue = new SlotQueue({
            clock,
            ledger,
            admission: this.#admission,
            refusals: this.#refusals,
            refreshPace: () => this.#checks.refreshPace(),
            probeCold: () => coldProbe.probeIfDue(),
        });
        this.#runner = new RequestRunner(upstream, {
            ...parts,
            endpoint: this.#endpoint,
            levels,
            checks: this.#checks,
            queue: this.#queue,
            refusals: this.#refusals,
            log: this.#log,
            report: () => this.report(),
            createNote: fields => this.note(fields),
        });
    }

    get cold(): ColdProbe {
        return this.#endpoint.coldProbe;
    }

    get finished(): number {
        return this.#runner.finished;
    }

    get refused(): number {
        return this.#refusals.count;
    }

    /** True while no new requests are taken. */
    get isClosed(): boolean {
        return this.#checks.isClosed;
    }

    /** Requests that run or wait. */
    get busy(): number {
        return this.#admission.running + this.#admission.waiting;
    }

    /** Of the slots, above which the upstream was found to slow down; undefined while none is known. */
    get learnedShare(): number | undefined {
        return this.#admission.learnedShare;
    }

    /** Slots for work of siblings. */
    get free(): number {
        return this.#admission.free(this.parts.clock());
    }

    get waiting(): number {
        return this.#admission.waiting;
    }

    /** The load as peers are told it. */
    report(): LoadReport {
        const now = this.parts.clock();
        const report = { ...this.#admission.report(now), pace: this.#checks.pace };
        return atLeast(report, this.#runner.meanAgeMs(now));
    }

    /** Operators want nothing more to be sent here. */
    get isEvacuated(): boolean {
        return this.#checks.isClosedFor("evacuated");
    }

    /** Requests a second that the upstream takes, as it states; undefined while it states no limit. */
    get limitPerSecond(): number | undefined {
        return this.#endpoint.signals.rateLimit.perSecond;
    }

    /** Takes no new requests for a reason; what runs is finished, and so is what waits, unless it can or must be served elsewhere. */
    close(reason: CloseReason): void {
        this.#checks.close(reason);
        if (reason === "evacuated" || reason === "ending") {
            this.#queue.redirect(({ choices }) => reason === "evacuated" || choices > 0);
        }
    }

    /** Takes a reason back; the gate takes new requests when none is left. */
    reopen(reason: CloseReason): void {
        this.#checks.reopen(reason);
    }

    /** Acts on the finding that open connections of this daemon may carry nothing any more. */
    suspectConnections(): void {
        this.#endpoint.client.destroyIdle();
        this.#runner.abortUnanswered(silentAfter(this.report().baseMs));
    }

    /** True when the upstream has served the request well in its present life. */
    hasServed(request: RequestKey): boolean {
        return this.#runner.hasServed(request);
    }

    /** Calls off what runs of a request, where it may run again. */
    giveUp(request: RequestKey): void {
        this.#runner.cancel(request);
    }

    /** Ends the connections to the upstream, after what is in flight. */
    end(): Promise<void> {
        return this.#endpoint.client.close();
    }

    /** Serves a request; throws a HopError. */
    async serve(call: GateCall): Promise<GateAnswer> {
        const { identity, clock, dialect } = this.parts;
        const request = new GateRequest(call, identity, clock(), requestKeyOf(call, dialect));
        try {
            this.#endpoint.signals.recordPeerLimit(call.head.limitPerSecond);
            await this.cold.waitUntilKnown();
            await this.#admit(request);
            await this.#queue.enter(request);
            return await this.#runner.run(request);
        }
        catch (err) {
            this.#log.logFailure(request, err, this.report());
            throw err;
        }
    }

    /** Asks the upstream's health endpoint, and acts on what it reports of leaving and of its load. */
    askHealth(timeoutMs: number): Promise<void> {
        return this.#endpoint.healthProbe.probeIfAllowed(timeoutMs);
    }

    /** Holds a slot for a sibling's request; false when none is free. */
    offer(id: string): boolean {
        return !this.isClosed && this.#queue.offers.create(id, this.parts.clock());
    }

    /** Takes an offer back if it was not used. */
    withdrawOffer(id: string): void {
        if (this.#queue.offers.withdraw(id)) {
            this.#queue.startNext();
        }
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: UpstreamName, offers: readonly string[]): number {
        return this.#queue.handBack(goTo, offers);
    }

    /** The note of an answer, or of a refusal. */
    note(more: Partial<AnswerNote> = {}): AnswerNote {
        return {
            ...this.parts.identity.note(this.parts.clock()),
            report: more.report ?? this.report(),
            limitPerSecond: this.limitPerSecond,
            ending: this.#checks.isClosedFor("ending") || undefined,
            ...more,
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
        this.parts.onChange();
    }
}
