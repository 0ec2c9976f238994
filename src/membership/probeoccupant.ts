/** Who answers at an address that two upstreams claim? */
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import type { Occupant } from "../policy/membership/occupant.js";
import { askHealth } from "./probehealth.js";

const logger = log("roster");

/** Asks the health endpoint at `path`; whatever its status, the answer names who gave it. */
export async function occupantOf(address: Address, path: string, dialect: Dialect): Promise<Occupant> {
    try {
        const { headers } = await askHealth(address, path);
        const name = UpstreamName.safeParse(dialect.upstreamName(headers)).data;
        return name === undefined ? { type: "unnamed" } : { type: "named", name };
    }
    catch (err) {
        logger.warn("An address that two upstreams claim does not answer.", err, { address });
        return { type: "silent" };
    }
}
