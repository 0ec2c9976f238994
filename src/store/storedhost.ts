/** A line of the platform's list of hosts. */
import { z } from "zod";
import { HostName } from "../ids/hostname.js";

const StoredHost = z.object({ name: HostName, state: z.enum(["live", "leaving"]) });
type StoredHost = z.infer<typeof StoredHost>;

/** The list lags behind the truth. */
export { StoredHost };
