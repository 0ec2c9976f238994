/**
 * Keeps requests that end upstreams from the upstreams.
 *
 * Owns what this daemon knows of them. Gates tell it of ends and of requests that were served well, peers and the store of what was
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
import type { Standing } from "../policy/quarantine/standing.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** `hasServed`: an upstream here has served the request well in its present life. `giveUp` calls off what runs of it here. */
type GuardParts = {
    readonly clock: Clock;
    readonly hasServed: (request: RequestKey) => boolean;
    readonly giveUp: (request: RequestKey) => void;
};

/** Ends that were seen here and are known as such: more than any request has among those that are kept of it. */
const MAX_OWN = 64;

/** An end that was seen here, of an upstream of the service. */
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
    readonly #held = new Set<RequestKey>();
    readonly #ownCrashes = new Set<CrashId>();
    readonly #listeners: Listener[] = [];

    constructor(private readonly parts: GuardParts) {}

    /** Calls the listener when something is new; with an end that was seen here, if it was that. */
    onNews(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /** True while no request is known under which an upstream has ended: then there is no need to ask. */
    get isEmpty(): boolean {
        return this.#history.isEmpty;
    }

    /** The same at all daemons that know the same; undefined where nothing is known. */
    get mark(): number | undefined {
        return this.#history.mark;
    }

    get records(): CrashRecord[] {
        return this.#history.all(this.parts.clock());
    }

    /** How many requests are refused. */
    get held(): number {
        return this.#history.held(this.parts.clock());
    }

    /** For how long the request is refused yet, in milliseconds; undefined for one that is not. */
    heldForMs(request: RequestKey | undefined): number | undefined {
        return request === undefined ? undefined : this.#history.heldForMs(request, this.parts.clock());
    }

    standing(request: RequestKey | undefined): Standing {
        return request === undefined ? "free" : this.#history.standing(request, this.parts.clock());
    }

    /** Requests with ends enough to be refused, cleared or not, of which one was seen here. */
    get witnessed(): CrashRecord[] {
        return this.records.filter(({ crashes }) =>
            crashes.length >= crashLimits.refuseAt && crashes.some(crash => this.#ownCrashes.has(crash))
        );
    }

    /** Records that an upstream here has ended with these under way. */
    recordCrash(own: OwnCrash): void {
        const { crash, requests } = own;
        this.#ownCrashes.add(crash);
        if (this.#ownCrashes.size > MAX_OWN) {
            this.#ownCrashes.delete(this.#ownCrashes.values().next().value!);
        }
        this.#merge(requests.map(request => ({ request, crashes: [crash], cleared: [], ageMs: 0 })), own);
    }

    /** Records that an upstream here has served the request well. */
    recordServed(request: RequestKey): void {
        if (this.standing(request) !== "free" && this.#history.clear(request)) {
            logger.change("A request is cleared: it was served well.", { request });
            this.#tell(undefined);
        }
    }

    /** Applies what was seen elsewhere. */
    merge(records: readonly CrashRecord[]): void {
        this.#merge(records, undefined);
    }

    #merge(records: readonly CrashRecord[], own: OwnCrash | undefined): void {
        const changed = this.#history.merge(records, this.parts.clock());
        changed.forEach(request => this.#judge(request));
        if (changed.length > 0) {
            this.#tell(own);
        }
    }

    /** What an upstream here has served well is cleared at once, also for the others. */
    #judge(request: RequestKey): void {
        const { hasServed, giveUp } = this.parts;
        if (this.standing(request) !== "free" && hasServed(request)) {
            this.#history.clear(request);
        }
        const heldForMs = this.heldForMs(request);
        if (heldForMs === undefined) {
            this.#held.delete(request);
            return;
        }
        if (this.#held.has(request)) {
            return;
        }
        this.#held.add(request);
        const { crashes } = this.#history.find(request, this.parts.clock())!;
        logger.change("A request is refused: upstreams have ended under it.", { request, crashes, heldForMs });
        giveUp(request);
    }

    #tell(own: OwnCrash | undefined): void {
        this.#listeners.forEach(listener => listener(own));
    }
}
