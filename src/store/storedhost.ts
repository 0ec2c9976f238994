/** Defines an entry of the platform's list of hosts. */
import { z } from "zod";
import { HostName } from "../ids/hostname.js";

const StoredHost = z.object({ name: HostName, state: z.enum(["live", "leaving"]) });
type StoredHost = z.infer<typeof StoredHost>;

/** A host and its state, which the list may show late. */
export { StoredHost };
