/**
 * Finds the upstream beside a daemon that has just started.
 *
 * An upstream announces itself every second or two; a daemon that was restarted need not wait for that, since the
 * upstream's health endpoint tells its name and slots at once.
 */
import { Client } from "undici";
import type { Dialect } from "../dialect/dialect.js";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";

const TIMEOUT_MS = 250;
/** Older than anything that the upstream says itself. */
const BEFORE_ALL = -1;

/** Where the upstream is, what it serves, and where it tells its health. */
type DiscoveryParts = {
    readonly address: Address;
    readonly service: ServiceName;
    readonly dialect: Dialect;
    readonly path: () => string;
};

/** An upstream that is not well, or is leaving, is not found. */
export class UpstreamDiscovery {
    constructor(private readonly parts: DiscoveryParts) {}

    /** Asks once; undefined when no upstream answers that takes work. */
    async find(): Promise<{ readonly name: UpstreamName; readonly announcement: Announcement; } | undefined> {
        const { address, service, dialect, path } = this.parts;
        const client = new Client(`http://${address}`);
        try {
            const signal = AbortSignal.timeout(TIMEOUT_MS);
            const { statusCode, headers, body } = await client.request({ method: "GET", path: path(), signal });
            await body.dump();
            const name = UpstreamName.safeParse(dialect.upstreamName(headers)).data;
            const slots = dialect.load(headers)?.slots;
            if (statusCode !== httpStatus.ok || name === undefined || slots === undefined || slots < 1) {
                return undefined;
            }
            const announcement = { service, address, slots, state: "ready", coldMs: 0, sequence: BEFORE_ALL } as const;
            return { name, announcement };
        }
        catch {
            return undefined;
        }
        finally {
            void client.destroy();
        }
    }
}
