/**
 * What a gate refuses before it waits for a slot, and what it knows of its upstream for that.
 *
 * Owns the reasons for which the gate is closed, the upstream's pace and the calls of its runs. What is decided by
 * them stands in policy/failure and policy/retry.
 */
import type { RuleName } from "../ids/rulename.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import type { Pace } from "../policy/failure/pace.js";
import { Fullness } from "../policy/placement/fullness.js";
import { CallProfile } from "../policy/retry/callprofile.js";
import { canAffordCalls } from "../policy/retry/canaffordcalls.js";
import type { Reason } from "../policy/retry/reason.js";
import type { CloseReason } from "./closereason.js";
import type { GateParts } from "./gateparts.js";
import type { GateRequest } from "./gaterequest.js";
import { PaceProbe } from "./paceprobe.js";

const logger = log("gate");

/** What the checks need of their gate; `ask` asks the upstream for its pace and rejects when it does not answer in time. */
type CheckParts = Pick<GateParts, "clock" | "ledger" | "mayAsk" | "repeatsLeft"> & {
    readonly upstream: string;
    readonly pace: Pace;
    /** How long work on a rule takes at the usual pace, in milliseconds. */
    readonly workMs: (rule: RuleName | undefined) => number;
    readonly probe: () => Promise<void>;
    /** Runs under way that are not the first of their request. */
    readonly repeatsInFlight: () => number;
};

/** One for each gate. */
export class GateChecks {
    readonly #paceProbe: PaceProbe;
    readonly #callProfile = new CallProfile();
    readonly #fullness = new Fullness();
    readonly #closeReasons = new Set<CloseReason>();

    constructor(private readonly parts: CheckParts) {
        this.#paceProbe = new PaceProbe(parts);
    }

    /** True while no new requests are taken. */
    get isClosed(): boolean {
        return this.#closeReasons.size > 0;
    }

    isClosedFor(reason: CloseReason): boolean {
        return this.#closeReasons.has(reason);
    }

    /** True while the upstream is about to end as it, or its operators, have announced. */
    get isUpstreamLeaving(): boolean {
        return (["upstream", "ending", "draining"] as const).some(reason => this.#closeReasons.has(reason));
    }

    /** The upstream's last report of its pace; undefined of one that never reports. */
    get pace(): number | undefined {
        return this.#paceProbe.last;
    }

    /** Takes no new requests for a reason; what waits and runs is finished. */
    close(reason: CloseReason): void {
        if (!this.#closeReasons.has(reason)) {
            logger.change("The gate takes no new requests.", { upstream: this.parts.upstream, reason });
        }
        this.#closeReasons.add(reason);
    }

    /** Takes a reason back; the gate takes new requests when none is left. */
    reopen(reason: CloseReason): void {
        this.#closeReasons.delete(reason);
    }

    recordPace(pace: number): void {
        this.#paceProbe.record(pace);
    }

    /** Asks the upstream for its pace, unless the budget is spent. */
    refreshPace(): Promise<void> {
        return this.#paceProbe.refresh();
    }

    /** Records what a run called, whatever became of it. */
    recordCalls(calls: ReadonlyMap<ServiceName, number>): void {
        this.#callProfile.observe(calls);
    }

    /** Records that the upstream has answered a request. */
    recordResponse(): void {
        this.#fullness.served();
    }

    /** Records that the upstream gave no answer, for a reason. */
    recordFailure(reason: Reason): void {
        if (reason === "shed") {
            this.#fullness.turnedAway(this.parts.clock());
        }
        if (reason === "leaving" || reason === "misdirected") {
            this.close("upstream");
        }
    }

    /** Why the request is refused: it belongs elsewhere, or the ledger does not let it run; undefined when it is not. */
    async refusalReason(request: GateRequest): Promise<Reason | undefined> {
        return this.#immediateRefusal(request) ?? await this.#paceRefusal(request) ?? this.#ledgerRefusal(request);
    }

    /** An upstream that is full gets what has no other way only: what it turns away counts as an arrival, and must be paid for. */
    #immediateRefusal({ choices, call: { head: { arrival } } }: GateRequest): Reason | undefined {
        const { repeatsInFlight, repeatsLeft, clock } = this.parts;
        if (this.isClosed) {
            return "leaving";
        }
        if (choices > 0 && this.#fullness.isActive(clock())) {
            return "busy";
        }
        const isRepeat = arrival === "retry" || arrival === "hedge";
        return isRepeat && !canAffordCalls(this.#callProfile.perRun, repeatsInFlight(), repeatsLeft)
            ? "calls-spent"
            : undefined;
    }

    async #paceRefusal({ choices, rule, call: { cancel } }: GateRequest): Promise<Reason | undefined> {
        if (await this.#paceProbe.shouldRedirect({ choices, workMs: this.parts.workMs(rule) })) {
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
        const admitted = this.parts.ledger.admit(head.id, ledgerDeadline, arrivedAt);
        return admitted === "admitted" ? undefined : `ledger-${admitted}`;
    }
}
