/**
 * Keeps requests that crash upstreams from the upstreams.
 *
 * Owns what this daemon knows of them. Gates tell it of crashes and of requests that were served well, peers and the store of what was
 * seen elsewhere; ingress and gates ask it before each attempt. What is decided stands in policy/quarantine; how it spreads, in
 * crashspread.ts.
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

/** `hasServed`: an upstream here has served the request well in its present life. `giveUp` calls off what runs of it here. */
type GuardDependencies = {
    readonly clock: Clock;
    readonly hasServed: (request: RequestKey) => boolean;
    readonly giveUp: (request: RequestKey) => void;
};

/** Crashes that were seen here and are known as such: more than are kept of any request. */
const MAX_OWN = 64;

/** A crash that was seen here, of an upstream of the service, and the requests that were under way. */
type OwnCrash = {
    readonly service: ServiceName;
    readonly crash: CrashId;
    readonly requests: readonly RequestKey[];
};

type Listener = (own: OwnCrash | undefined) => void;

/** One for each daemon. */
export class CrashGuard {
    readonly #history = new CrashHistory();
    /** Those that the log has told of. */
    readonly #logged = new Set<RequestKey>();
    readonly #ownCrashes = new RecentSet<CrashId>(MAX_OWN);
    readonly #listeners: Listener[] = [];

    constructor(private readonly deps: GuardDependencies) {}

    /** Calls the listener when something is new; with a crash that was seen here, if it was that. */
    onNews(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /** True while no request is known under which an upstream has crashed: then there is no need to ask. */
    get isEmpty(): boolean {
        return this.#history.isEmpty;
    }

    /** The same at all daemons that know the same; undefined where nothing is known. */
    get mark(): number | undefined {
        this.#history.evictExpired(this.deps.clock());
        return this.#history.digest;
    }

    /** The same of suspect and quarantined requests alone: what others must know at once. */
    get suspectMark(): number | undefined {
        this.#history.evictExpired(this.deps.clock());
        return this.#history.suspectDigest;
    }

    /** How many changes there have been. */
    get changes(): number {
        return this.#history.changeCount;
    }

    /** What has changed after so many changes; all that is known after none. */
    recordsAfter(changes: number): CrashRecord[] {
        return this.#history.recordsChangedAfter(changes, this.deps.clock());
    }

    /** How many requests are quarantined. */
    get quarantined(): number {
        return this.#history.countQuarantined(this.deps.clock());
    }

    /** For how long the request is quarantined yet, in milliseconds; undefined for one that is not. */
    quarantinedForMs(request: RequestKey | undefined): number | undefined {
        return request === undefined ? undefined : this.#history.quarantinedForMs(request, this.deps.clock());
    }

    standing(request: RequestKey | undefined): QuarantineStatus {
        return request === undefined ? "free" : this.#history.statusOf(request, this.deps.clock());
    }

    /** Requests with crashes enough for a quarantine, cleared or not, of which one was seen here. */
    get witnessed(): CrashRecord[] {
        return this.recordsAfter(0).filter(({ crashes }) =>
            crashes.length >= crashLimits.quarantineThreshold && crashes.some(crash => this.#ownCrashes.has(crash))
        );
    }

    /** Quarantined requests of whose crashes the first, by id, was seen here. */
    get firstWitnessed(): CrashRecord[] {
        return this.witnessed.filter(({ request, crashes }) =>
            this.quarantinedForMs(request) !== undefined && this.#ownCrashes.has([...crashes].sort()[0]!)
        );
    }

    /** Records that an upstream here has crashed. */
    recordCrash(own: OwnCrash): void {
        const { crash, requests } = own;
        this.#ownCrashes.add(crash);
        this.#merge(toCrashRecords(crash, requests), own);
    }

    /** Records that an upstream here has served the request well. */
    recordServed(request: RequestKey): void {
        if (this.#clear(request)) {
            this.#tell(undefined);
        }
    }

    /** Applies what was seen elsewhere. */
    merge(records: readonly CrashRecord[]): void {
        this.#merge(records, undefined);
    }

    #merge(records: readonly CrashRecord[], own: OwnCrash | undefined): void {
        const changed = this.#history.merge(records, this.deps.clock());
        changed.forEach(request => this.#judge(request));
        if (changed.length > 0) {
            this.#tell(own);
        }
    }

    /** What an upstream here has served well is cleared at once, also for the others. */
    #judge(request: RequestKey): void {
        const { hasServed, giveUp } = this.deps;
        if (hasServed(request)) {
            this.#clear(request);
        }
        const quarantinedForMs = this.quarantinedForMs(request);
        if (quarantinedForMs === undefined) {
            this.#logged.delete(request);
            return;
        }
        if (this.#logged.has(request)) {
            return;
        }
        this.#logged.add(request);
        const { crashes } = this.#history.recordOf(request, this.deps.clock())!;
        logger.change("A request is quarantined: upstreams have crashed under it.", {
            request,
            crashes,
            quarantinedForMs,
        });
        giveUp(request);
    }

    /** False where there is nothing to clear. */
    #clear(request: RequestKey): boolean {
        const isCleared = this.standing(request) !== "free" && this.#history.clear(request);
        if (isCleared) {
            logger.change("A request is cleared: it was served well.", { request });
        }
        return isCleared;
    }

    #tell(own: OwnCrash | undefined): void {
        this.#listeners.forEach(listener => listener(own));
    }
}
