/** Declares the store operations that membership uses; daemons find each other through the records in the store. */
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";
import type { RegistryEvent } from "./registryevent.js";
import type { RegistryList } from "./registrylist.js";

/** All methods reject with a StoreError if the store fails. */
export abstract class Registry {
    /** Writes the daemon's record under a lease; it expires if it is not renewed. */
    abstract publish(member: Member): Promise<void>;
    /** Renews the record's lease; resolves with false if the record is gone and has to be published again. */
    abstract renew(): Promise<boolean>;
    /** Deletes the daemon's record. */
    abstract withdraw(): Promise<void>;
    /** Stores the crash record of a quarantined request for `leaseMs` milliseconds, in place of an earlier one. */
    abstract storeCrashRecord(record: CrashRecord, leaseMs: number): Promise<void>;
    /**
     * Returns all records. A stale list costs the store less, but may be seconds old; its position (`at`) must not be
     * used for a watch.
     */
    abstract list(age: "newest" | "stale"): Promise<RegistryList>;
    /**
     * Waits for changes after the position `after`; rejects with a HistoryUnavailableError if the store no longer has
     * them.
     */
    abstract watch(
        after: number,
        signal: AbortSignal,
    ): Promise<{ readonly events: RegistryEvent[]; readonly at: number; }>;
}
