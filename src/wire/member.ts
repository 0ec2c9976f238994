/** Defines the record of a daemon that daemons send each other. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { HostName } from "../ids/hostname.js";
import { Incarnation } from "../ids/incarnation.js";
import { RegionName } from "../ids/regionname.js";
import { HostedUpstream } from "./hostedupstream.js";

/** Maximum number of upstreams beside a daemon; limits the size of a record. */
const MAX_UPSTREAMS = 16;

const Member = z.object({
    /** The daemon's peer address. */
    gate: Address,
    host: HostName,
    hall: HallName,
    region: RegionName,
    incarnation: Incarnation,
    /** Increases with each change within an incarnation. */
    version: z.int().min(0),
    upstreams: z.array(HostedUpstream).max(MAX_UPSTREAMS),
});
type Member = z.infer<typeof Member>;

/** A daemon and the upstreams beside it. */
export { Member };
