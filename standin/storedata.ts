/** Data of the store stand-in: items, leases and the history of changes. */

type Item = { readonly key: string; readonly value: string; readonly storeRevision: number; readonly lease: number; };
type ChangeEvent = Item | { readonly key: string; readonly storeRevision: number; readonly gone: true; };
type Lease = { readonly ttlMs: number; expiresAt: number; };

const EXPIRY_CHECK_EVERY_MS = 50;

/** Contents of a backup. */
type Backup = {
    readonly items: ReadonlyMap<string, Item>;
    readonly leases: ReadonlyMap<number, Lease>;
    readonly events: readonly ChangeEvent[];
    readonly revision: number;
};

/** Holds the data under one revision for the whole store, and removes the items of expired leases. */
export class StoreData {
    readonly #items = new Map<string, Item>();
    readonly #leases = new Map<number, Lease>();
    readonly #waiters = new Set<() => void>();
    #events: ChangeEvent[] = [];
    #revision = 1;
    #compactedRevision = 0;
    #backup: Backup | undefined;
    #era = 1;

    constructor() {
        setInterval(() => this.#removeExpired(performance.now()), EXPIRY_CHECK_EVERY_MS).unref();
    }

    get revision(): number {
        return this.#revision;
    }

    find(key: string): Item | undefined {
        return this.#items.get(key);
    }

    range(prefix: string): Item[] {
        return [...this.#items.values()].filter(item => item.key.startsWith(prefix));
    }

    eventsSince(prefix: string, after: number): ChangeEvent[] {
        return this.#events.filter(event => event.storeRevision > after && event.key.startsWith(prefix));
    }

    put(key: string, value: string, lease = 0): void {
        this.#revision += 1;
        const item = { key, value, storeRevision: this.#revision, lease };
        this.#items.set(key, item);
        this.#addEvent(item);
    }

    remove(key: string): void {
        if (this.#items.delete(key)) {
            this.#revision += 1;
            this.#addEvent({ key, storeRevision: this.#revision, gone: true });
        }
    }

    /** Resolves at the next change, compaction or restore, or after `timeoutMs`. */
    nextChange(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                this.#waiters.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, timeoutMs);
            this.#waiters.add(finish);
        });
    }

    /** Returns 1 plus the number of restores from a backup. */
    get era(): number {
        return this.#era;
    }

    /** Replaces the backup by one of the current data. */
    createBackup(): void {
        const leases = new Map([...this.#leases].map(([id, lease]) => [id, { ...lease }]));
        this.#backup = { items: new Map(this.#items), leases, events: [...this.#events], revision: this.#revision };
    }

    /**
     * Restores the backup. What was written since is lost: items, leases, and revisions, which are then assigned again.
     * The restored leases get their full TTL.
     */
    restoreBackup(): void {
        const { items, leases, events, revision } = this.#backup!;
        this.#items.clear();
        items.forEach((item, key) => this.#items.set(key, item));
        this.#leases.clear();
        leases.forEach((lease, id) => this.#leases.set(id, { ...lease, expiresAt: performance.now() + lease.ttlMs }));
        this.#events = [...events];
        this.#revision = revision;
        this.#era += 1;
        this.#notifyWaiters();
    }

    /** Discards the history of changes up to the current revision. */
    compact(): void {
        this.#events = [];
        this.#compactedRevision = this.#revision;
        this.#notifyWaiters();
    }

    /** Returns true if changes after the revision may have been discarded, or if the store has not reached it. */
    isUnavailable(after: number): boolean {
        return after < this.#compactedRevision || after > this.#revision;
    }

    grantLease(ttlMs: number): { lease: number; ttl_ms: number; } {
        const lease = 1000 + this.#leases.size;
        this.#leases.set(lease, { ttlMs, expiresAt: performance.now() + ttlMs });
        return { lease, ttl_ms: ttlMs };
    }

    /** Returns true if the lease has not expired; id 0 stands for no lease and is always valid. */
    isLeaseValid(id: number): boolean {
        return id === 0 || (this.#leases.get(id)?.expiresAt ?? 0) > performance.now();
    }

    /** Extends the lease by its full TTL; returns false if it has expired or does not exist. */
    renewLease(id: number): boolean {
        if (!this.isLeaseValid(id)) {
            return false;
        }
        const lease = this.#leases.get(id)!;
        lease.expiresAt = performance.now() + lease.ttlMs;
        return true;
    }

    /** Ends the lease and removes its items; returns whether it was valid. */
    endLease(id: number): boolean {
        const wasValid = this.isLeaseValid(id);
        const lease = this.#leases.get(id);
        if (lease !== undefined) {
            lease.expiresAt = 0;
            this.#removeExpired(performance.now());
        }
        return wasValid;
    }

    revokeAllLeases(): void {
        this.#leases.forEach(lease => lease.expiresAt = 0);
        this.#removeExpired(performance.now());
    }

    #addEvent(event: ChangeEvent): void {
        this.#events.push(event);
        this.#notifyWaiters();
    }

    #notifyWaiters(): void {
        this.#waiters.forEach(notify => notify());
    }

    #removeExpired(now: number): void {
        for (const item of [...this.#items.values()]) {
            if (item.lease !== 0 && this.#leases.get(item.lease)!.expiresAt <= now) {
                this.remove(item.key);
            }
        }
    }
}
