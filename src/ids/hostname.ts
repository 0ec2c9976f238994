/** The name of a host, as the platform lists it. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const HostName = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand("HostName");
type HostName = z.infer<typeof HostName>;

/** The name of a host, as the platform lists it. */
export { HostName };
