/** What the stand-in of the store holds. */

type Item = { readonly key: string; readonly value: string; readonly storeRevision: number; readonly lease: number; };
type ChangeEvent = Item | { readonly key: string; readonly storeRevision: number; readonly gone: true; };
type Lease = { readonly ttlMs: number; expiresAt: number; };

const EXPIRY_CHECK_EVERY_MS = 50;

/** All that a copy holds. */
type Backup = {
    readonly items: ReadonlyMap<string, Item>;
    readonly leases: ReadonlyMap<number, Lease>;
    readonly events: readonly ChangeEvent[];
    readonly revision: number;
};

/** One revision for all; leases end by themselves. */
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

    /** Resolves at the next change, or after `timeoutMs`. */
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

    /** How often it has come back from a copy, and one. */
    get era(): number {
        return this.#era;
    }

    /** Makes the copy that it may come back from. */
    createBackup(): void {
        const leases = new Map([...this.#leases].map(([id, lease]) => [id, { ...lease }]));
        this.#backup = { items: new Map(this.#items), leases, events: [...this.#events], revision: this.#revision };
    }

    /** What has been written since the copy is gone: items, leases, and revisions, which are given out again. */
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

    compact(): void {
        this.#events = [];
        this.#compactedRevision = this.#revision;
        this.#notifyWaiters();
    }

    /** True for a revision behind which changes may be missing, and for one that it has not come to. */
    isUnavailable(after: number): boolean {
        return after < this.#compactedRevision || after > this.#revision;
    }

    grantLease(ttlMs: number): { lease: number; ttl_ms: number; } {
        const lease = 1000 + this.#leases.size;
        this.#leases.set(lease, { ttlMs, expiresAt: performance.now() + ttlMs });
        return { lease, ttl_ms: ttlMs };
    }

    isLeaseValid(id: number): boolean {
        return id === 0 || (this.#leases.get(id)?.expiresAt ?? 0) > performance.now();
    }

    renewLease(id: number): boolean {
        if (!this.isLeaseValid(id)) {
            return false;
        }
        const lease = this.#leases.get(id)!;
        lease.expiresAt = performance.now() + lease.ttlMs;
        return true;
    }

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
