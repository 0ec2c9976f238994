/** Where daemons find each other: the platform's store, as far as membership uses it. */
import type { Member } from "../wire/member.js";
import type { RegistryEvent } from "./registryevent.js";

/** All calls throw a StoreError. */
export abstract class Registry {
    /** Writes the daemon's record, for as long as it is renewed. */
    abstract publish(member: Member): Promise<void>;
    /** Renews the record; false when it is gone and must be published again. */
    abstract renew(): Promise<boolean>;
    /** Takes the record back. */
    abstract withdraw(): Promise<void>;
    /** All records, and where to watch from; stale ones cost the store less and may be seconds old: nothing is watched from there. */
    abstract list(age: "newest" | "stale"): Promise<{ readonly members: Member[]; readonly at: number; }>;
    /** Waits for changes after `after`; throws a HistoryError when they are no longer kept. */
    abstract watch(
        after: number,
        signal: AbortSignal,
    ): Promise<{ readonly events: RegistryEvent[]; readonly at: number; }>;
}
