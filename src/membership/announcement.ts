/** The body of an announcement, which an upstream sends to the daemon beside it every one to two seconds. */
import { z } from "zod";
import { Slots } from "../config/slots.js";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { ServiceName } from "../ids/servicename.js";
import { StartTime } from "./starttime.js";

const Announcement = z.object({
    service: ServiceName,
    address: Address,
    hall: HallName.optional(),
    slots: Slots,
    state: z.enum(["ready", "draining"]),
    /** Remaining time, in milliseconds, for which the upstream is cold after its start. */
    coldMs: z.number().min(0).default(0),
    /** Start time of this incarnation. An upstream that restarts under its name has a later one. */
    born: StartTime.optional(),
    /** Increases with each announcement of an incarnation, so that a delayed announcement is recognized. */
    sequence: z.int().min(0),
});
type Announcement = z.infer<typeof Announcement>;

/** Reports the address of an upstream, its service, its slots and whether it accepts new requests. */
export { Announcement };
