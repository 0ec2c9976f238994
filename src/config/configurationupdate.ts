/** Defines the update that a daemon sends to a peer whose configuration is older. */
import { z } from "zod";
import { Document } from "./document.js";
import { Patch } from "./patch.js";

const ConfigurationUpdate = z.union([
    z.strictObject({ type: z.literal("patches"), patches: z.array(Patch) }),
    z.strictObject({ type: z.literal("full"), document: Document }),
]);
type ConfigurationUpdate = z.infer<typeof ConfigurationUpdate>;

/** Contains patches if the daemon still has those from the peer's revision on, otherwise the full document. */
export { ConfigurationUpdate };
