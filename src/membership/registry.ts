/** Where daemons find each other: the platform's store, as far as membership uses it. */
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";
import type { RegistryEvent } from "./registryevent.js";
import type { RegistryList } from "./registrylist.js";

/** All calls throw a StoreError. */
export abstract class Registry {
    /** Writes the daemon's record, for as long as it is renewed. */
    abstract publish(member: Member): Promise<void>;
    /** Renews the record; false when it is gone and must be published again. */
    abstract renew(): Promise<boolean>;
    /** Takes the record back. */
    abstract withdraw(): Promise<void>;
    /** Keeps what is known of a quarantined request for so long, in milliseconds; what was kept of it before is replaced. */
    abstract keepCrashes(record: CrashRecord, keepMs: number): Promise<void>;
    /** All records, and where to watch from; stale ones cost the store less and may be seconds old: nothing is watched from there. */
    abstract list(age: "newest" | "stale"): Promise<RegistryList>;
    /** Waits for changes after `after`; throws a HistoryError when they are no longer kept. */
    abstract watch(
        after: number,
        signal: AbortSignal,
    ): Promise<{ readonly events: RegistryEvent[]; readonly at: number; }>;
}
