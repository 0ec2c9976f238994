/** What is known of one daemon. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { HostName } from "../ids/hostname.js";
import { Incarnation } from "../ids/incarnation.js";
import { RegionName } from "../ids/regionname.js";
import { HostedUpstream } from "./hostedupstream.js";

/** Beside one daemon: bounds a record. */
const MAX_UPSTREAMS = 16;

const Member = z.object({
    gate: Address,
    host: HostName,
    hall: HallName,
    region: RegionName,
    incarnation: Incarnation,
    /** Rises with each change within one life of the daemon. */
    version: z.int().min(0),
    upstreams: z.array(HostedUpstream).max(MAX_UPSTREAMS),
});
type Member = z.infer<typeof Member>;

/** A daemon by its peer address, and the upstreams beside it. */
export { Member };
