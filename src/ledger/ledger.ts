/**
 * Remembers the `once` requests at a gate, so that each of them runs at most once.
 *
 * All times are milliseconds on the gate's clock, which starts with the gate. Each request carries its deadline in that
 * time, and is refused as expired if it arrives later. An entry is therefore kept only until its deadline, and is never
 * evicted earlier. The number of entries is bounded by the request rate times the time limit, and by `capacity`.
 */
import type { RequestId } from "../ids/requestid.js";
import type { AdmitResult } from "./admitresult.js";
import type { EntryState } from "./entrystate.js";
import type { RevokeResult } from "./revokeresult.js";

/** Limits the cost of evicting expired entries: each sweep visits all entries. */
const SWEEP_INTERVAL_MS = 1000;

type Entry = { state: EntryState; readonly deadline: number; };

/** A bounded ledger that refuses new requests when it is full. It does no I/O and reads no clock. */
export class Ledger {
    readonly #entries = new Map<RequestId, Entry>();
    #sweptAt = 0;

    constructor(readonly capacity: number) {}

    /** Records the arrival of a request; must be called before anything else is done with the request. */
    admit(id: RequestId, deadline: number, now: number): AdmitResult {
        this.#sweepIfDue(now);
        const existing = this.#entries.get(id);
        if (existing !== undefined) {
            return existing.state === "revoked" ? "revoked" : "duplicate";
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

    /**
     * Marks a queued request as running. Returns false if it was revoked or its deadline has passed; it must not run
     * then.
     */
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

    /** Marks a running request as not run, as the upstream has proven: it was never sent, or was shed. */
    markNotRun(id: RequestId): void {
        const entry = this.#entries.get(id);
        if (entry?.state === "running") {
            entry.state = "revoked";
        }
    }

    /** Revokes a request. Leaves a tombstone, which refuses the request if it arrives later. */
    revoke(id: RequestId, deadline: number, now: number): RevokeResult {
        const entry = this.#entries.get(id);
        if (entry === undefined) {
            return this.#addTombstone(id, deadline, now);
        }
        if (entry.state === "queued") {
            entry.state = "revoked";
            return "revoked";
        }
        return entry.state;
    }

    #addTombstone(id: RequestId, deadline: number, now: number): RevokeResult {
        if (now >= deadline || !this.#hasRoom(now)) {
            return "unknown";
        }
        this.#entries.set(id, { state: "revoked", deadline });
        return "revoked";
    }

    #hasRoom(now: number): boolean {
        if (this.#entries.size >= this.capacity) {
            this.#sweptAt = now;
            this.#evictExpired(now);
        }
        return this.#entries.size < this.capacity;
    }

    #sweepIfDue(now: number): void {
        if (now - this.#sweptAt < SWEEP_INTERVAL_MS) {
            return;
        }
        this.#sweptAt = now;
        this.#evictExpired(now);
    }

    #evictExpired(now: number): void {
        for (const [id, entry] of this.#entries) {
            const isFinal = entry.state === "done" || entry.state === "revoked";
            if (isFinal && now >= entry.deadline) {
                this.#entries.delete(id);
            }
        }
    }
}
