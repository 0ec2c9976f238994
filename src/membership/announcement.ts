/** What an upstream tells the daemon beside it, every second or two. */
import { z } from "zod";
import { Slots } from "../config/slots.js";
import { Address } from "../ids/address.js";
import { HallName } from "../ids/hallname.js";
import { ServiceName } from "../ids/servicename.js";
import { Born } from "./starttime.js";

const Announcement = z.object({
    service: ServiceName,
    address: Address,
    hall: HallName.optional(),
    slots: Slots,
    state: z.enum(["ready", "draining"]),
    /** How much longer it is slow from its start. */
    coldMs: z.number().min(0).default(0),
    /** When this life of it began, in Unix milliseconds; one that starts again under its name has a later one. */
    born: Born.optional(),
    /** Rises with each announcement of one life, so that a late one can be known. */
    sequence: z.int().min(0),
});
type Announcement = z.infer<typeof Announcement>;

/** Where an upstream is, what it serves and whether it takes new work. */
export { Announcement };
