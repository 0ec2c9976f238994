/** Defines the operations of the key-value store that holds the configuration. */
import type { StoredHost } from "./storedhost.js";
import type { StoreUpdate } from "./storeupdate.js";
import type { VersionedValue } from "./versionedvalue.js";

/** All methods that call the store throw a StoreError on failure. */
export abstract class Store {
    /** Returns the latest version of the configuration. */
    abstract read(): Promise<VersionedValue>;
    /**
     * Returns the state of the store. It may be seconds old if such a read costs the store less; `isLatest` is true if
     * it is the latest one.
     */
    abstract readCached(): Promise<StoreUpdate & { readonly isLatest: boolean; }>;
    /** Writes the value if the stored version is still `version`; returns false if it is not. */
    abstract write(value: string, version: number): Promise<boolean>;
    /**
     * Waits for a version above `version` or for another change; the result has no change if none comes within the time
     * limit, or within `maxWaitMs` milliseconds where the store supports that.
     */
    abstract watch(version: number, signal: AbortSignal, maxWaitMs?: number): Promise<StoreUpdate>;
    /** Returns the platform's hosts; empty if the store has no list of them. */
    abstract hosts(): Promise<StoredHost[]>;
    /** Makes later calls on new connections, because the old ones may have become unresponsive. */
    abstract renewConnections(): void;
    abstract close(): Promise<void>;
}
