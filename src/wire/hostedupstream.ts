/** What a daemon tells its peers of an upstream beside it. */
import { z } from "zod";
import { Slots } from "../config/slots.js";
import { Address } from "../ids/address.js";
import { ServiceName } from "../ids/servicename.js";
import { UpstreamName } from "../ids/upstreamname.js";

const HostedUpstream = z.object({
    name: UpstreamName,
    service: ServiceName,
    address: Address,
    slots: Slots,
    draining: z.boolean(),
    /** Of the slots, above which its gate has found it to slow down. */
    limitShare: z.number().min(0).max(1).optional(),
});
type HostedUpstream = z.infer<typeof HostedUpstream>;

/** An upstream by its announcement; its place is the daemon's. */
export { HostedUpstream };
