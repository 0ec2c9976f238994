/** One call at a gate, from arrival to its end. */
import type { Priority } from "../config/priority.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import type { Cancel } from "../http/cancel.js";
import type { RuleName } from "../ids/rulename.js";
import type { TenantName } from "../ids/tenantname.js";
import type { Waiting } from "../policy/admission/waiting.js";
import type { GateIdentity } from "./gateidentity.js";

/** A `once` call must name this life of the gate and carry its clock; `deadline` is on that clock. */
export class Ticket implements Waiting {
    readonly priority: Priority;
    readonly tenant: TenantName;
    readonly maxWaitMs: number;
    readonly deadline: number;
    readonly once: boolean;
    readonly arrivedAt: number;
    #go: () => void = () => {};
    #refuse: (err: HopError) => void = () => {};

    constructor(readonly call: GateCall, identity: GateIdentity, now: number) {
        const { head } = call;
        this.arrivedAt = now;
        this.priority = head.priority;
        this.tenant = head.tenant;
        this.maxWaitMs = head.maxWaitMs;
        this.once = head.kind === "once";
        const stale = head.incarnation !== undefined && head.incarnation !== identity.incarnation;
        if (stale || (this.once && (head.incarnation === undefined || head.gateTime === undefined))) {
            throw new HopError("not-run", "incarnation", {
                ...identity.note(now),
                outcome: "not-run",
                reason: "incarnation",
            });
        }
        this.deadline = Math.min(now, head.gateTime ?? now) + head.remainingMs;
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
    get movable(): boolean {
        return this.call.head.offer === undefined;
    }

    /** Resolves when it is the request's turn; rejects with a HopError when it is refused. */
    turn(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#go = resolve;
            this.#refuse = reject;
        });
    }

    go(): void {
        this.#go();
    }

    refuse(err: HopError): void {
        this.#refuse(err);
    }

    /** Aborts a repeatable request whose caller has left; a running `once` request is let finish. */
    upstreamCancel(): Cancel | undefined {
        return this.once ? undefined : this.call.cancel;
    }
}
