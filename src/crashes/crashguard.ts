/**
 * Quarantines requests that crash upstreams.
 *
 * Owns the crash records that this daemon knows. Gates report crashes and requests that were served successfully; peers
 * and the store provide the records of other daemons. The ingress and the gates query the quarantine before each
 * attempt. policy/quarantine decides which requests are quarantined; crashpropagation.ts propagates the records.
 */
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import { CrashHistory } from "../policy/quarantine/crashhistory.js";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { QuarantineStatus } from "../policy/quarantine/quarantinestatus.js";
import { toCrashRecords } from "../policy/quarantine/tocrashrecords.js";
import { RecentSet } from "../policy/recentset.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

type CrashGuardDependencies = {
    readonly clock: Clock;
    /** Returns true if an upstream beside this daemon has served the request in the upstream's current incarnation. */
    readonly hasServed: (request: RequestKey) => boolean;
    /** Aborts the runs of the request at this daemon's gates. */
    readonly cancel: (request: RequestKey) => void;
};

/** Number of local crash ids that are remembered; more than the crashes that are kept for any one request. */
const MAX_LOCAL_CRASHES = 64;

/** A crash of an upstream beside this daemon, with the requests that were in flight. */
type LocalCrash = {
    readonly service: ServiceName;
    readonly crash: CrashId;
    readonly requests: readonly RequestKey[];
};

type Listener = (localCrash: LocalCrash | undefined) => void;

/** Holds the crash records of one daemon. */
export class CrashGuard {
    readonly #history = new CrashHistory();
    /** Quarantined requests that have been logged. */
    readonly #loggedRequests = new Set<RequestKey>();
    readonly #localCrashes = new RecentSet<CrashId>(MAX_LOCAL_CRASHES);
    readonly #listeners: Listener[] = [];

    constructor(private readonly deps: CrashGuardDependencies) {}

    /** Calls the listener when records have changed; with the crash, if the cause is a local crash. */
    onChange(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /** True if there are no crash records, so that no request is suspect or quarantined. */
    get isEmpty(): boolean {
        return this.#history.isEmpty;
    }

    /** Digest of all records, equal at all daemons with equal records; undefined if there are none. */
    get digest(): number | undefined {
        this.#history.evictExpired(this.deps.clock());
        return this.#history.digest;
    }

    /** Digest of suspect and quarantined requests, whose changes are urgent; undefined if there are none. */
    get suspectDigest(): number | undefined {
        this.#history.evictExpired(this.deps.clock());
        return this.#history.suspectDigest;
    }

    /** Number of changes of the records so far. */
    get changeCount(): number {
        return this.#history.changeCount;
    }

    /** Returns the records that changed after the first `changeCount` changes; for 0, all records. */
    recordsChangedAfter(changeCount: number): CrashRecord[] {
        return this.#history.recordsChangedAfter(changeCount, this.deps.clock());
    }

    /** Number of quarantined requests. */
    get quarantinedCount(): number {
        return this.#history.countQuarantined(this.deps.clock());
    }

    /** Returns how much longer the request stays quarantined, in milliseconds; undefined if it is not. */
    quarantinedForMs(request: RequestKey | undefined): number | undefined {
        return request === undefined ? undefined : this.#history.quarantinedForMs(request, this.deps.clock());
    }

    statusOf(request: RequestKey | undefined): QuarantineStatus {
        return request === undefined ? "free" : this.#history.statusOf(request, this.deps.clock());
    }

    /**
     * Records that this daemon writes to the store: those with enough crashes for a quarantine, cleared or not, and at
     * least one local crash.
     */
    get recordsToPublish(): CrashRecord[] {
        return this.recordsChangedAfter(0).filter(({ crashes }) =>
            crashes.length >= crashLimits.quarantineThreshold && crashes.some(crash => this.#localCrashes.has(crash))
        );
    }

    /**
     * Records that this daemon writes again regularly: those of quarantined requests whose lowest crash id belongs to a
     * local crash, so that only one daemon renews each record.
     */
    get recordsToRenew(): CrashRecord[] {
        return this.recordsToPublish.filter(({ request, crashes }) =>
            this.quarantinedForMs(request) !== undefined && this.#localCrashes.has([...crashes].sort()[0]!)
        );
    }

    /** Records that an upstream beside this daemon has crashed. */
    recordCrash(localCrash: LocalCrash): void {
        const { crash, requests } = localCrash;
        this.#localCrashes.add(crash);
        this.#merge(toCrashRecords(crash, requests), localCrash);
    }

    /** Records that an upstream beside this daemon has served the request successfully, which clears the request. */
    recordServed(request: RequestKey): void {
        if (this.#clear(request)) {
            this.#notifyListeners(undefined);
        }
    }

    /** Merges records from peers or from the store. */
    merge(records: readonly CrashRecord[]): void {
        this.#merge(records, undefined);
    }

    #merge(records: readonly CrashRecord[], localCrash: LocalCrash | undefined): void {
        const changed = this.#history.merge(records, this.deps.clock());
        changed.forEach(request => this.#updateStatus(request));
        if (changed.length > 0) {
            this.#notifyListeners(localCrash);
        }
    }

    /**
     * Clears the request if an upstream beside this daemon has served it; the other daemons receive the cleared record.
     * If the request is newly quarantined, logs that and aborts its runs.
     */
    #updateStatus(request: RequestKey): void {
        const { hasServed, cancel } = this.deps;
        if (hasServed(request)) {
            this.#clear(request);
        }
        const quarantinedForMs = this.quarantinedForMs(request);
        if (quarantinedForMs === undefined) {
            this.#loggedRequests.delete(request);
            return;
        }
        if (this.#loggedRequests.has(request)) {
            return;
        }
        this.#loggedRequests.add(request);
        const { crashes } = this.#history.recordOf(request, this.deps.clock())!;
        logger.change("Quarantined a request that was in flight at several crashes; new attempts are refused.", {
            request,
            crashes,
            quarantinedForMs,
        });
        cancel(request);
    }

    /** Clears the request of its crashes; returns false if it is neither suspect nor quarantined. */
    #clear(request: RequestKey): boolean {
        const isCleared = this.statusOf(request) !== "free" && this.#history.clear(request);
        if (isCleared) {
            logger.change("Cleared a request of crashes because it was served successfully.", { request });
        }
        return isCleared;
    }

    #notifyListeners(localCrash: LocalCrash | undefined): void {
        this.#listeners.forEach(listener => listener(localCrash));
    }
}
