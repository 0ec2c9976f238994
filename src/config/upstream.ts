/** What an operator sets for an upstream. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { HostName } from "../ids/hostname.js";
import { RegionName } from "../ids/regionname.js";
import { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";

const MAX_SLOTS = 10_000;
const DEFAULT_CONNECTIONS = 200;

const Upstream = z.strictObject({
    name: UpstreamName,
    service: ServiceName,
    host: HostName,
    address: Address,
    gate: Address,
    hall: HallName,
    region: RegionName,
    slots: z.int().min(1).max(MAX_SLOTS),
    connections: z.int().min(1).max(MAX_SLOTS).default(DEFAULT_CONNECTIONS),
    draining: z.boolean().default(false),
});
type Upstream = z.infer<typeof Upstream>;

/** One instance of a service; `gate` is the peer address of the daemon beside it. */
export { Upstream };
