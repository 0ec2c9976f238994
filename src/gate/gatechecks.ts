/**
 * Decides whether a gate refuses a request before it queues.
 *
 * Owns the reasons for which the gate is closed, the upstream's pace and the profile of the calls that its runs make.
 * The policies are in policy/failure and policy/retry.
 */
import type { RuleName } from "../ids/rulename.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import type { Pace } from "../policy/failure/pace.js";
import { FullBackoff } from "../policy/placement/fullbackoff.js";
import { CallProfile } from "../policy/retry/callprofile.js";
import { canAffordCalls } from "../policy/retry/canaffordcalls.js";
import type { Reason } from "../policy/retry/reason.js";
import type { CloseReason } from "./closereason.js";
import type { GateDependencies } from "./gatedependencies.js";
import type { GateRequest } from "./gaterequest.js";
import { PaceProbe } from "./paceprobe.js";

const logger = log("gate");

/** Dependencies that the gate provides. */
type CheckDependencies = Pick<GateDependencies, "clock" | "ledger" | "mayProbePace" | "repeatsLeft"> & {
    readonly upstream: string;
    readonly pace: Pace;
    /** Returns how long requests of a rule take at the upstream's usual pace, in milliseconds. */
    readonly workMs: (rule: RuleName | undefined) => number;
    /** Asks the upstream for its pace; rejects if it does not respond in time. */
    readonly probe: () => Promise<void>;
    /** Returns the number of repeats that are running. */
    readonly repeatsInFlight: () => number;
};

/** Checks the requests of one gate before they queue. */
export class GateChecks {
    readonly #paceProbe: PaceProbe;
    readonly #callProfile = new CallProfile();
    readonly #fullness = new FullBackoff();
    readonly #closeReasons = new Set<CloseReason>();

    constructor(private readonly deps: CheckDependencies) {
        this.#paceProbe = new PaceProbe(deps);
    }

    /** True while the gate takes no new requests. */
    get isClosed(): boolean {
        return this.#closeReasons.size > 0;
    }

    isClosedFor(reason: CloseReason): boolean {
        return this.#closeReasons.has(reason);
    }

    /** True while the upstream is leaving, as announced by itself or by its operators. */
    get isUpstreamLeaving(): boolean {
        return (["upstream", "ending", "draining"] as const).some(reason => this.#closeReasons.has(reason));
    }

    /** The pace that the upstream reported last; undefined if it never reports one. */
    get pace(): number | undefined {
        return this.#paceProbe.lastPace;
    }

    /** Stops taking new requests for a reason; queued and running requests finish. */
    close(reason: CloseReason): void {
        if (!this.#closeReasons.has(reason)) {
            logger.change("The gate takes no new requests.", { upstream: this.deps.upstream, reason });
        }
        this.#closeReasons.add(reason);
    }

    /** Removes a reason for being closed; the gate takes new requests once none is left. */
    reopen(reason: CloseReason): void {
        this.#closeReasons.delete(reason);
    }

    recordPace(pace: number): void {
        this.#paceProbe.record(pace);
    }

    /** Asks the upstream for its pace, unless the probe budget is used up. */
    refreshPace(): Promise<void> {
        return this.#paceProbe.refresh();
    }

    /** Records the calls that a run made, whether or not it succeeded. */
    recordCalls(calls: ReadonlyMap<ServiceName, number>): void {
        this.#callProfile.observe(calls);
    }

    /** Records that the upstream has responded to a request. */
    recordResponse(): void {
        this.#fullness.recordServed();
    }

    /** Records that the upstream did not serve a request, and why. */
    recordFailure(reason: Reason): void {
        if (reason === "shed") {
            this.#fullness.recordRefusal(this.deps.clock());
        }
        if (reason === "leaving" || reason === "misdirected") {
            this.close("upstream");
        }
    }

    /**
     * Returns why the request is refused: it should be served elsewhere, or the ledger does not admit it. Returns
     * undefined if it is not refused.
     */
    async refusalReason(request: GateRequest): Promise<Reason | undefined> {
        return this.#immediateRefusal(request) ?? await this.#paceRefusal(request) ?? this.#ledgerRefusal(request);
    }

    /**
     * A full upstream receives only requests that can go nowhere else: a request that it sheds still counts as an
     * arrival, and its retry costs retry budget.
     */
    #immediateRefusal({ choices, call: { head: { arrival } } }: GateRequest): Reason | undefined {
        const { repeatsInFlight, repeatsLeft, clock } = this.deps;
        if (this.isClosed) {
            return "leaving";
        }
        if (choices > 0 && this.#fullness.isActive(clock())) {
            return "busy";
        }
        const isRepeat = arrival === "retry" || arrival === "hedge";
        return isRepeat && !canAffordCalls(this.#callProfile.callsPerRun, repeatsInFlight(), repeatsLeft)
            ? "calls-spent"
            : undefined;
    }

    async #paceRefusal({ choices, rule, call: { cancel } }: GateRequest): Promise<Reason | undefined> {
        if (await this.#paceProbe.shouldRedirect({ choices, workMs: this.deps.workMs(rule) })) {
            return "slow";
        }
        if (this.isClosed) {
            return "leaving";
        }
        return cancel.aborted ? "caller-left" : undefined;
    }

    #ledgerRefusal({ once, call: { head }, ledgerDeadline, arrivedAt }: GateRequest): Reason | undefined {
        if (!once) {
            return undefined;
        }
        const admitted = this.deps.ledger.admit(head.id, ledgerDeadline, arrivedAt);
        return admitted === "admitted" ? undefined : `ledger-${admitted}`;
    }
}
