/** One request at a gate, from its arrival to its end. */
import type { Priority } from "../config/priority.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import type { Cancel } from "../http/cancel.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { RuleName } from "../ids/rulename.js";
import type { TeamName } from "../ids/teamname.js";
import { ledgerDeadline } from "../ledger/ledgerdeadline.js";
import type { Waiting } from "../policy/admission/waiting.js";
import type { GateIdentity } from "./gateidentity.js";

/** A `once` request must name this life of the gate and carry its clock; both deadlines are on that clock. */
export class GateRequest implements Waiting {
    readonly priority: Priority;
    readonly team: TeamName;
    readonly maxWaitMs: number;
    /** When its caller's time is over. */
    readonly deadline: number;
    readonly ledgerDeadline: number;
    readonly once: boolean;
    readonly arrivedAt: number;
    #resolve: () => void = () => {};
    #reject: (err: HopError) => void = () => {};

    /** `key` is what it is known by when its caller sends it again, where that can be told. */
    constructor(
        readonly call: GateCall,
        identity: GateIdentity,
        now: number,
        readonly key?: RequestKey,
    ) {
        const { head } = call;
        this.arrivedAt = now;
        this.priority = head.priority;
        this.team = head.team;
        this.maxWaitMs = head.maxWaitMs;
        this.once = head.kind === "once";
        const isOtherIncarnation = head.incarnation !== undefined && head.incarnation !== identity.incarnation;
        if (isOtherIncarnation || (this.once && (head.incarnation === undefined || head.gateTime === undefined))) {
            const note = { ...identity.note(now), outcome: "not-run" as const, reason: "incarnation" };
            throw new HopError("not-run", "incarnation", note);
        }
        const { gateTime = now, remainingMs } = head;
        this.deadline = Math.min(now, gateTime) + remainingMs;
        this.ledgerDeadline = ledgerDeadline({ gateTime, remainingMs });
    }

    get rule(): RuleName | undefined {
        return this.call.rule;
    }

    /** How many other upstreams the request could still go to. */
    get choices(): number {
        return this.call.head.choices;
    }

    get nearChoices(): number {
        return this.call.head.nearChoices;
    }

    /** False for a request that was handed back once already: it is not handed on again. */
    get canHandBack(): boolean {
        return this.call.head.offer === undefined;
    }

    /** Resolves when a slot is free for the request; rejects with a HopError when it is refused. */
    waitForSlot(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
        });
    }

    /** Ends its wait: a slot is free. */
    grantSlot(): void {
        this.#resolve();
    }

    /** Ends its wait: it does not run here. */
    refuse(err: HopError): void {
        this.#reject(err);
    }

    /** Aborts a repeatable request whose caller has gone; a `once` request that runs is let finish. */
    upstreamCancel(): Cancel | undefined {
        return this.once ? undefined : this.call.cancel;
    }
}
