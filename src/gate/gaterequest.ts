/** Represents one request at a gate, from its arrival to its end. */
import type { Priority } from "../config/priority.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import type { Cancellation } from "../http/cancellation.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { RuleName } from "../ids/rulename.js";
import type { TeamName } from "../ids/teamname.js";
import { ledgerDeadline } from "../ledger/ledgerdeadline.js";
import type { QueuedRequest } from "../policy/admission/queuedrequest.js";
import type { GateIdentity } from "./gateidentity.js";

/**
 * A request at a gate; times are milliseconds on the gate's clock. The constructor throws a HopError if the request
 * names another incarnation of the gate, or if a `once` request lacks the incarnation or the reading of the gate's
 * clock.
 */
export class GateRequest implements QueuedRequest {
    readonly priority: Priority;
    readonly team: TeamName;
    readonly maxWaitMs: number;
    /** Time at which the caller's time limit ends. */
    readonly deadline: number;
    /** Time until which the ledger keeps the entry of a `once` request. */
    readonly ledgerDeadline: number;
    readonly once: boolean;
    readonly arrivedAt: number;
    /** Time at which the request got a slot and was about to be sent; undefined before. */
    startedAt: number | undefined;
    /** Time at which a connection to the upstream was established for the request; undefined if one was reused. */
    connectedAt: number | undefined;
    /** Time at which the request was written to the upstream; undefined before. */
    writtenAt: number | undefined;
    /** Time at which it was known that the caller has left or needs no response; undefined before. */
    cancelledAt: number | undefined;
    #call: GateCall;
    #key: RequestKey | undefined;
    #resolve: () => void = () => {};
    #reject: (err: HopError) => void = () => {};

    /** `key` identifies the request if its caller sends it again; undefined if that cannot be determined. */
    constructor(call: GateCall, identity: GateIdentity, now: number, key?: RequestKey) {
        const { head } = call;
        this.#call = call;
        this.#key = key;
        this.arrivedAt = now;
        this.priority = head.priority;
        this.team = head.team;
        this.maxWaitMs = head.maxWaitMs;
        this.once = head.kind === "once";
        const isOtherIncarnation = head.incarnation !== undefined && head.incarnation !== identity.incarnation;
        if (isOtherIncarnation || (this.once && (head.incarnation === undefined || head.gateTime === undefined))) {
            const metadata = { ...identity.responseMetadata(now), outcome: "not-run" as const, reason: "incarnation" };
            throw new HopError("not-run", "incarnation", metadata);
        }
        const { gateTime = now, remainingMs } = head;
        this.deadline = Math.min(now, gateTime) + remainingMs;
        this.ledgerDeadline = ledgerDeadline({ gateTime, remainingMs });
    }

    get call(): GateCall {
        return this.#call;
    }

    get key(): RequestKey | undefined {
        return this.#key;
    }

    /** Sets the body that the sender was asked for, and the key, which could not be determined without it. */
    setBody(body: GateCall["body"], key: RequestKey | undefined): void {
        this.#call = { ...this.#call, body };
        this.#key = key;
    }

    get rule(): RuleName | undefined {
        return this.call.rule;
    }

    /** Number of other upstreams to which the request could still go. */
    get choices(): number {
        return this.call.head.choices;
    }

    /** Number of these that are in the ingress's own data hall. */
    get nearChoices(): number {
        return this.call.head.nearChoices;
    }

    /** False if the request was already handed back once: it is not handed back again. */
    get canHandBack(): boolean {
        return this.call.head.offer === undefined;
    }

    /** Resolves when a slot is free for the request; rejects with a HopError if it is refused. */
    waitForSlot(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
        });
    }

    /** Ends the wait for a slot: the request may run. */
    grantSlot(): void {
        this.#resolve();
    }

    /** Ends the wait for a slot: the request does not run here. */
    refuse(err: HopError): void {
        this.#reject(err);
    }

    /**
     * Returns the caller's cancel signal for a repeatable request. Returns undefined for a `once` request, which runs
     * to its end even if its caller has left.
     */
    upstreamCancel(): Cancellation | undefined {
        return this.once ? undefined : this.call.cancel;
    }
}
