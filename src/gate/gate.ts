/**
 * The only way in to one upstream.
 *
 * Owns the upstream's client, its slots and queue; gatechecks.ts says what it refuses at once. Every refusal is a HopError whose
 * outcome is `not-run` exactly when the ledger or the upstream proves it. What is decided of a request stands in
 * policy/admission and policy/failure.
 */
import type { Upstream } from "../config/upstream.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import type { GateCall } from "../hop/gatecall.js";
import type { HopError } from "../hop/hoperror.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
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
import { GateChecks } from "./gatechecks.js";
import { GateLog } from "./gatelog.js";
import type { GateParts } from "./gateparts.js";
import { GateRefusals } from "./gaterefusals.js";
import { GateRequest } from "./gaterequest.js";
import { RunningRequests } from "./runningrequests.js";
import { SlotQueue } from "./slotqueue.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";
import { UpstreamRun } from "./upstreamrun.js";

const logger = log("gate");

/** A question of the pace holds a request up: half of the time for which its answer is believed. */
const ASK_TIMEOUT_MS = 15;

/** Serves the requests for one upstream. */
export class Gate {
    readonly #checks: GateChecks;
    readonly #log: GateLog;
    readonly #client: UpstreamClient;
    readonly #admission: Admission<GateRequest>;
    readonly #refusals: GateRefusals;
    readonly #queue: SlotQueue;
    readonly #running = new RunningRequests();
    readonly #levels: LevelClock;

    constructor(readonly upstream: Upstream, private readonly parts: GateParts) {
        const { clock, ledger, localIp, dialect } = parts;
        this.#levels = new LevelClock(upstream.slots, clock());
        const onLoad = ({ pace }: { readonly pace: number; }): void => this.#checks.recordPace(pace);
        this.#client = new UpstreamClient(upstream, { localIp, dialect, onLoad, clock, onSilent: parts.onSilent });
        this.#log = new GateLog(upstream.name, dialect);
        const pace = new Pace();
        const times = new RuleTimes();
        this.#checks = new GateChecks({
            ...parts,
            pace,
            workMs: rule => times.longMs(rule),
            upstream: upstream.name,
            ask: () => this.askHealth(parts.healthPath(upstream.service), ASK_TIMEOUT_MS),
            repeatsUnderWay: () => this.#running.repeated,
        });
        this.#admission = new Admission(
            makeLimit(parts.limit, upstream.slots, () => parts.usualShare(upstream.service)),
            times,
            this.#levels,
            pace,
        );
        this.#refusals = new GateRefusals(more => this.note(more));
        this.#queue = new SlotQueue({
            clock,
            ledger,
            admission: this.#admission,
            refusals: this.#refusals,
            refreshPace: () => this.#checks.refreshPace(),
        });
    }

    get finished(): number {
        return this.#running.finished;
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
        const report = { ...this.#admission.report(), pace: this.#checks.pace };
        return atLeast(report, this.#running.meanAgeMs(this.parts.clock()));
    }

    /** Takes no new requests for a reason; what waits and runs is finished. */
    close(reason: CloseReason): void {
        this.#checks.close(reason);
    }

    /** Takes a reason back; the gate takes new requests when none is left. */
    reopen(reason: CloseReason): void {
        this.#checks.reopen(reason);
    }

    /** Acts on the finding that open connections of this daemon may carry nothing any more. */
    suspectConnections(): void {
        this.#client.dropIdle();
        this.#running.suspect(silentAfter(this.report().baseMs));
    }

    /** Ends the connections to the upstream, after what is in flight. */
    end(): Promise<void> {
        return this.#client.close();
    }

    /** Serves a request; throws a HopError. */
    async serve(call: GateCall): Promise<GateAnswer> {
        const request = new GateRequest(call, this.parts.identity, this.parts.clock());
        try {
            await this.#admit(request);
            await this.#queue.enter(request);
            return await this.#run(request);
        }
        catch (err) {
            this.#log.refused(request, err, this.report());
            throw err;
        }
    }

    /** Asks the upstream's health endpoint, and acts on what it reports of leaving and of its load. */
    async askHealth(path: string, timeoutMs: number): Promise<void> {
        const { headers } = await this.#client.ask(path, timeoutMs);
        if (this.parts.dialect.isLeaving(headers)) {
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

    async #admit(request: GateRequest): Promise<void> {
        const reason = await this.#checks.refusalOf(request);
        if (reason !== undefined) {
            throw this.#refusals.make(reason);
        }
        this.parts.onChange();
    }

    async #run(request: GateRequest): Promise<GateAnswer> {
        const { clock } = this.parts;
        if (!this.#queue.start(request)) {
            throw this.#refusals.make("deadline-or-revoked");
        }
        const onEnd = (
            serviceMs: number | undefined,
            work: Float64Array,
            made: ReadonlyMap<ServiceName, number>,
        ): void => {
            this.#checks.recordCalls(made);
            this.#running.remove(run);
            this.#queue.release(serviceMs, { rule: request.rule, work, pace });
            this.parts.onChange();
        };
        const startedAt = clock();
        const { pace } = this.#checks;
        const run = new UpstreamRun(request, { ...this.parts, client: this.#client, levels: this.#levels, onEnd });
        this.#running.add(run);
        try {
            const { leaving, calls, retriedBelow, unframed, ...answer } = await run.send();
            this.#recordArrival(request);
            this.#checks.recordAnswer(leaving);
            const tookMs = clock() - request.arrivedAt;
            const report = this.report();
            this.#log.answered(request, answer.status, startedAt - request.arrivedAt, tookMs, report);
            return { ...answer, note: this.note({ tookMs, calls, retriedBelow, unframed, report }) };
        }
        catch (err) {
            const arrived = !(err instanceof UpstreamError && err.reason === "unreachable");
            if (arrived) {
                this.#recordArrival(request);
            }
            throw this.#toHopError(err, arrived);
        }
    }

    #recordArrival({ call: { head } }: GateRequest): void {
        this.parts.onArrival(this.upstream.service, head.arrival);
    }

    /** `arrived`: the upstream has received the request. */
    #toHopError(err: unknown, arrived: boolean): HopError {
        const reason = err instanceof UpstreamError ? err.reason : "gate-error";
        if (reason === "gate-error") {
            logger.warn("A request failed at its gate.", err, { upstream: this.upstream.name });
        }
        this.#checks.recordFailure(reason);
        return this.#refusals.make(reason, { arrived });
    }
}
