/**
 * Finds the upstream beside a daemon that has just started.
 *
 * An upstream announces itself every second or two; a daemon that was restarted need not wait for that, since the upstream's health
 * endpoint reports its name and slots at once.
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
import { askHealth } from "./probehealth.js";

const logger = log("roster");

/**
 * For so long after a start the upstream is looked for: it announces itself within that time otherwise. Milliseconds. Of 31 daemons that
 * started together with their upstreams 18 had not found theirs after 2 s, and wrote their records twice.
 */
const LOOK_FOR_MS = 4000;
/** Milliseconds. */
const LOOK_EVERY_MS = 200;
/** Older than any announcement of the upstream itself. */
const BEFORE_ALL = -1;

/** Where the upstream is, what it serves, and where it reports its health; `isWanted` is false once one has announced itself. */
type FindDependencies = {
    readonly address: Address;
    readonly service: ServiceName;
    readonly dialect: Dialect;
    readonly path: () => string;
    readonly isWanted: () => boolean;
    readonly clock: Clock;
};

type Found = { readonly name: UpstreamName; readonly announcement: Announcement; };

/** Resolves with the upstream, or with undefined when it is not wanted any more, or none was found in time. */
export async function findUpstream(deps: FindDependencies): Promise<Found | undefined> {
    const until = deps.clock() + LOOK_FOR_MS;
    let lastError: unknown = "it is not ready";
    while (deps.isWanted() && deps.clock() < until) {
        const found = await askUpstream(deps, err => lastError = err);
        if (found !== undefined) {
            return found;
        }
        await sleep(LOOK_EVERY_MS);
    }
    if (deps.isWanted()) {
        logger.warn("No upstream was found beside this daemon.", lastError, { upstream: deps.address });
    }
    return undefined;
}

/** Asks once; undefined when no upstream answers that works and takes requests. */
const askUpstream = async (
    { address, service, dialect, path }: FindDependencies,
    onError: (err: unknown) => void,
): Promise<Found | undefined> => {
    try {
        const { status, headers } = await askHealth(address, path());
        const name = UpstreamName.safeParse(dialect.upstreamName(headers)).data;
        const slots = dialect.load(headers)?.slots;
        if (status !== httpStatus.ok || name === undefined || slots === undefined || slots < 1) {
            return undefined;
        }
        const announcement = { service, address, slots, state: "ready", coldMs: 0, sequence: BEFORE_ALL } as const;
        return { name, announcement };
    }
    catch (err) {
        onError(err);
        return undefined;
    }
};
