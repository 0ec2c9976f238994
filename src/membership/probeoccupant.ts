/** Finds out which upstream responds at an address that two upstreams claim. */
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Occupant } from "../policy/membership/occupant.js";
import { probeHealth } from "./probehealth.js";

const logger = log("roster");

/** Probes the health endpoint at `path`. Its response identifies the upstream whatever the status. Never rejects. */
export async function probeOccupant(address: Address, path: string, dialect: Dialect): Promise<Occupant> {
    try {
        const { headers } = await probeHealth(address, path);
        const name = UpstreamName.safeParse(dialect.upstreamName(headers)).data;
        return name === undefined ? { type: "unnamed" } : { type: "named", name };
    }
    catch (err) {
        logger.warn("No upstream responded at an address that two upstreams claim. The claim stays undecided.", err, {
            address,
        });
        return { type: "silent" };
    }
}
