/** What a daemon tells its peers of an upstream beside it. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";

const MAX_SLOTS = 10_000;

const HostedUpstream = z.object({
    name: UpstreamName,
    service: ServiceName,
    address: Address,
    slots: z.int().min(1).max(MAX_SLOTS),
    draining: z.boolean(),
});
type HostedUpstream = z.infer<typeof HostedUpstream>;

/** An upstream by its announcement; its place is the daemon's. */
export { HostedUpstream };
