/**
 * Finds the upstream beside a daemon that has just started, by probing its health endpoint.
 *
 * An upstream announces itself every one to two seconds. A restarted daemon does not wait for that, since the health
 * endpoint reports the upstream's name and slots at once.
 */
import type { Dialect } from "../dialect/dialect.js";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { Announcement } from "./announcement.js";
import { probeHealth } from "./probehealth.js";

const logger = log("roster");

/**
 * After this time the upstream's own announcement has arrived. With 2 s, 18 of 31 daemons that started together with
 * their upstreams did not find theirs, and wrote their records twice.
 */
const SEARCH_TIMEOUT_MS = 4000;
const PROBE_INTERVAL_MS = 200;
/** Lower than any sequence number, so that the upstream's first own announcement replaces the result of the search. */
const SEQUENCE_BEFORE_FIRST = -1;

type FindDependencies = {
    /** The address at which the upstream is expected. */
    readonly address: Address;
    readonly service: ServiceName;
    readonly dialect: Dialect;
    /** Returns the path of the upstream's health endpoint. */
    readonly healthPath: () => string;
    /** Returns false if the search should end, for example after an upstream has announced itself. */
    readonly shouldContinue: () => boolean;
    readonly clock: Clock;
};

type FoundUpstream = { readonly name: UpstreamName; readonly announcement: Announcement; };

/** Resolves with the upstream, or with undefined if none was found in time or `shouldContinue` returned false. */
export async function findUpstream(deps: FindDependencies): Promise<FoundUpstream | undefined> {
    const deadline = deps.clock() + SEARCH_TIMEOUT_MS;
    let lastError: unknown = "the upstream is not ready";
    while (deps.shouldContinue() && deps.clock() < deadline) {
        const found = await probeUpstream(deps, err => lastError = err);
        if (found !== undefined) {
            return found;
        }
        await sleep(PROBE_INTERVAL_MS);
    }
    if (deps.shouldContinue()) {
        logger.warn("No upstream was found beside this daemon. Its record is published without one.", lastError, {
            upstream: deps.address,
        });
    }
    return undefined;
}

/** Sends one probe; returns undefined if no upstream responds or the one that does is not ready for requests. */
const probeUpstream = async (
    { address, service, dialect, healthPath }: FindDependencies,
    onError: (err: unknown) => void,
): Promise<FoundUpstream | undefined> => {
    try {
        const { status, headers } = await probeHealth(address, healthPath());
        const name = UpstreamName.safeParse(dialect.upstreamName(headers)).data;
        const slots = dialect.load(headers)?.slots;
        if (status !== httpStatus.ok || name === undefined || slots === undefined || slots < 1) {
            return undefined;
        }
        const announcement = {
            service,
            address,
            slots,
            state: "ready",
            coldMs: 0,
            sequence: SEQUENCE_BEFORE_FIRST,
        } as const;
        return { name, announcement };
    }
    catch (err) {
        onError(err);
        return undefined;
    }
};
