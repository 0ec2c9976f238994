/** Defines the name of a host. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const HostName = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand("HostName");
type HostName = z.infer<typeof HostName>;

/** The name of a host in the platform's list. */
export { HostName };
