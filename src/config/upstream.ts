/** Defines the settings of an upstream. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { HostName } from "../ids/hostname.js";
import { RegionName } from "../ids/regionname.js";
import { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { defaultConnections } from "./defaultconnections.js";
import { Slots } from "./slots.js";

/** Equals the largest number of slots. */
const MAX_CONNECTIONS = 10_000;

const Upstream = z.strictObject({
    name: UpstreamName,
    service: ServiceName,
    host: HostName,
    address: Address,
    gate: Address,
    hall: HallName,
    region: RegionName,
    slots: Slots,
    connections: z.int().min(1).max(MAX_CONNECTIONS).default(defaultConnections),
    draining: z.boolean().default(false),
});
type Upstream = z.infer<typeof Upstream>;

/** An upstream is one instance of a service. `gate` is the peer address of the daemon on its host. */
export { Upstream };
