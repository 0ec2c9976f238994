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
import type { HttpHeaders } from "../http/httpheaders.js";
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
import { ColdProbe } from "./coldprobe.js";
import { GateChecks } from "./gatechecks.js";
import { GateLog } from "./gatelog.js";
import type { GateParts } from "./gateparts.js";
import { GateRefusals } from "./gaterefusals.js";
import { GateRequest } from "./gaterequest.js";
import { GateRuns } from "./gateruns.js";
import { SlotQueue } from "./slotqueue.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamNotices } from "./upstreamnotices.js";

/** A question of the pace holds a request up: half of the time for which its answer is believed. */
const ASK_TIMEOUT_MS = 15;

/** No request is held up by this question unless the upstream may be sent no more; milliseconds. */
const ASK_COLD_TIMEOUT_MS = 250;

/** Serves the requests for one upstream. */
export class Gate {
    readonly #checks: GateChecks;
    readonly #log: GateLog;
    readonly #notices: UpstreamNotices;
    readonly #client: UpstreamClient;
    readonly #admission: Admission<GateRequest>;
    readonly #refusals: GateRefusals;
    readonly cold: ColdProbe;
    readonly #queue: SlotQueue;
    readonly #runs: GateRuns;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        const { clock, ledger, localIp, dialect } = parts;
        const levels = new LevelClock(upstream.slots, clock());
        const onAnswer = (headers: HttpHeaders, sentAt: number): void => this.#recordAnswer(headers, sentAt);
        this.#client = new UpstreamClient(upstream, { localIp, dialect, onAnswer, clock, onSilent: parts.onSilent });
        this.#notices = new UpstreamNotices({ upstream: upstream.name, clock, dialect });
        this.#log = new GateLog(upstream.name, dialect);
        const pace = new Pace();
        this.cold = new ColdProbe({
            upstream: upstream.name,
            clock,
            limits: () => parts.coldLimits(upstream.service),
            mayAsk: parts.mayAskForCold,
            ask: () => this.askHealth(parts.healthPath(upstream.service), ASK_COLD_TIMEOUT_MS),
        });
        const times = new RuleTimes();
        this.#checks = new GateChecks({
            ...parts,
            pace,
            workMs: rule => times.longMs(rule),
            upstream: upstream.name,
            ask: () => this.askHealth(parts.healthPath(upstream.service), ASK_TIMEOUT_MS),
            repeatsUnderWay: () => this.#runs.repeated,
        });
        this.#admission = new Admission(
            makeLimit(parts.limit, upstream.slots, () => parts.usualShare(upstream.service)),
            times,
            levels,
            pace,
            this.cold.guard,
        );
        this.#refusals = new GateRefusals(more => this.note(more));
        this.#queue = new SlotQueue({
            clock,
            ledger,
            admission: this.#admission,
            refusals: this.#refusals,
            refreshPace: () => this.#checks.refreshPace(),
            askWhetherCold: () => this.cold.askInTime(),
        });
        this.#runs = new GateRuns(upstream, {
            ...parts,
            client: this.#client,
            levels,
            checks: this.#checks,
            queue: this.#queue,
            refusals: this.#refusals,
            log: this.#log,
            report: () => this.report(),
            note: more => this.note(more),
        });
    }

    get finished(): number {
        return this.#runs.finished;
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

    /** Slots that are neither in use nor held. */
    get free(): number {
        return this.#admission.free;
    }

    get waiting(): number {
        return this.#admission.waiting;
    }

    /** The load as peers are told it. */
    report(): LoadReport {
        const now = this.parts.clock();
        const report = { ...this.#admission.report(now), pace: this.#checks.pace };
        return atLeast(report, this.#runs.meanAgeMs(now));
    }

    /** True while operators want nothing more to be sent here. */
    get isEvacuated(): boolean {
        return this.#checks.isClosedFor("evacuated");
    }

    /** Takes no new requests for a reason; what runs is finished, and so is what waits, unless nothing more may be sent to the upstream. */
    close(reason: CloseReason): void {
        this.#checks.close(reason);
        if (reason === "evacuated") {
            this.#queue.sendOn();
        }
    }

    /** Takes a reason back; the gate takes new requests when none is left. */
    reopen(reason: CloseReason): void {
        this.#checks.reopen(reason);
    }

    /** Acts on the finding that open connections of this daemon may carry nothing any more. */
    suspectConnections(): void {
        this.#client.dropIdle();
        this.#runs.suspect(silentAfter(this.report().baseMs));
    }

    /** True when the upstream has served the request well in its present life. */
    hasServed(request: RequestKey): boolean {
        return this.#runs.hasServed(request);
    }

    /** Calls off what runs of a request, where it may run again. */
    giveUp(request: RequestKey): void {
        this.#runs.giveUp(request);
    }

    /** Ends the connections to the upstream, after what is in flight. */
    end(): Promise<void> {
        return this.#client.close();
    }

    /** Serves a request; throws a HopError. */
    async serve(call: GateCall): Promise<GateAnswer> {
        const { identity, clock, dialect } = this.parts;
        const request = new GateRequest(call, identity, clock(), requestKeyOf(call, dialect));
        try {
            await this.cold.learn();
            await this.#admit(request);
            await this.#queue.enter(request);
            return await this.#runs.run(request);
        }
        catch (err) {
            this.#log.refused(request, err, this.report());
            throw err;
        }
    }

    /** Asks the upstream's health endpoint, and acts on what it reports of leaving and of its load. */
    async askHealth(path: string, timeoutMs: number): Promise<void> {
        const { clock, dialect } = this.parts;
        const askedAt = clock();
        const { headers } = await this.#client.ask(path, timeoutMs);
        this.cold.record(dialect.coldMs(headers), askedAt);
        if (dialect.isLeaving(headers)) {
            this.close("upstream");
        }
        else {
            this.reopen("upstream");
        }
    }

    /** Holds a slot for a sibling's request; false when none is free. */
    offer(id: string): boolean {
        return !this.isClosed && this.#queue.offers.make(id);
    }

    /** Takes an offer back if it was not used. */
    withdrawOffer(id: string): void {
        if (this.#queue.offers.withdraw(id)) {
            this.#queue.advance();
        }
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: UpstreamName, offers: readonly string[]): number {
        return this.#queue.handBack(goTo, offers);
    }

    /** The note of an answer, or of a refusal. */
    note(more: Partial<AnswerNote> = {}): AnswerNote {
        return { ...this.parts.identity.note(this.parts.clock()), report: more.report ?? this.report(), ...more };
    }

    #recordAnswer(headers: HttpHeaders, sentAt: number): void {
        const load = this.parts.dialect.load(headers);
        if (load !== undefined) {
            this.#checks.recordPace(load.pace);
        }
        this.#notices.record(headers, sentAt);
    }

    async #admit(request: GateRequest): Promise<void> {
        const quarantine = this.#runs.quarantineOf(request);
        if (quarantine !== undefined) {
            throw quarantine;
        }
        const reason = await this.#checks.refusalOf(request);
        if (reason !== undefined) {
            throw this.#refusals.make(reason);
        }
        this.parts.onChange();
    }
}
