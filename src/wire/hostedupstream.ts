/** Defines a daemon's record of an upstream beside it, as propagated to its peers. */
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
    /** The knee that the gate has measured, as a share of the slots. */
    limitShare: z.number().min(0).max(1).optional(),
});
type HostedUpstream = z.infer<typeof HostedUpstream>;

/** An upstream as it was announced. Its host, hall and region are those of the daemon. */
export { HostedUpstream };
