/**
 * The gate's memory of not-repeatable requests, on which "at most once" rests.
 *
 * All times are the gate's own, in milliseconds since its start. A request carries its deadline in that time, so
 * an entry need only be kept until the deadline: what arrives later is refused as expired. Hence nothing is
 * forgotten early, and the ledger's size is bound by the rate times the time limit, or else by `capacity`.
 */
import type { RequestId } from "../ids/requestid.js";
import type { AdmitResult } from "./admitresult.js";
import type { EntryState } from "./entrystate.js";
import type { RevokeResult } from "./revokeresult.js";

/** Between two sweeps of what has expired, in milliseconds: each looks at every entry. */
const SWEEP_MS = 1000;

type Entry = { state: EntryState; readonly deadline: number; };

/** Bounded, pure; refuses new requests when full. */
export class Ledger {
    readonly #entries = new Map<RequestId, Entry>();
    #sweptAt = 0;

    constructor(readonly capacity: number) {}

    /** Records a request that has arrived; must be called before anything else is done with it. */
    admit(id: RequestId, deadline: number, now: number): AdmitResult {
        this.#sweep(now);
        const known = this.#entries.get(id);
        if (known !== undefined) {
            return known.state === "revoked" ? "revoked" : "duplicate";
        }
        if (now >= deadline) {
            return "expired";
        }
        if (!this.#hasRoom(now)) {
            return "full";
        }
        this.#entries.set(id, { state: "queued", deadline });
        return "admitted";
    }

    /** Marks a queued request as running; false when it was revoked or is too late, and then it must not run. */
    start(id: RequestId, now: number): boolean {
        const entry = this.#entries.get(id);
        if (entry === undefined || entry.state !== "queued") {
            return false;
        }
        if (now >= entry.deadline) {
            entry.state = "revoked";
            return false;
        }
        entry.state = "running";
        return true;
    }

    /** Marks a running request as done. */
    finish(id: RequestId): void {
        const entry = this.#entries.get(id);
        if (entry?.state === "running") {
            entry.state = "done";
        }
    }

    /** Marks a running request as never run, proven by the upstream itself (it was never sent, or was shed). */
    disprove(id: RequestId): void {
        const entry = this.#entries.get(id);
        if (entry?.state === "running") {
            entry.state = "revoked";
        }
    }

    /** Takes a request back; leaves a tombstone that stops one which is still on its way. */
    revoke(id: RequestId, deadline: number, now: number): RevokeResult {
        const entry = this.#entries.get(id);
        if (entry === undefined) {
            return this.#bury(id, deadline, now);
        }
        if (entry.state === "queued") {
            entry.state = "revoked";
            return "revoked";
        }
        return entry.state;
    }

    #bury(id: RequestId, deadline: number, now: number): RevokeResult {
        if (now >= deadline || !this.#hasRoom(now)) {
            return "unknown";
        }
        this.#entries.set(id, { state: "revoked", deadline });
        return "revoked";
    }

    #hasRoom(now: number): boolean {
        if (this.#entries.size >= this.capacity) {
            this.#sweptAt = now;
            this.#forgetExpired(now);
        }
        return this.#entries.size < this.capacity;
    }

    #sweep(now: number): void {
        if (now - this.#sweptAt < SWEEP_MS) {
            return;
        }
        this.#sweptAt = now;
        this.#forgetExpired(now);
    }

    #forgetExpired(now: number): void {
        for (const [id, entry] of this.#entries) {
            const settled = entry.state === "done" || entry.state === "revoked";
            if (settled && now >= entry.deadline) {
                this.#entries.delete(id);
            }
        }
    }
}
