/** What a daemon gives to a peer that is behind. */
import { z } from "zod";
import { Document } from "./document.js";
import { Patch } from "./patch.js";

const Update = z.union([
    z.strictObject({ type: z.literal("patches"), patches: z.array(Patch) }),
    z.strictObject({ type: z.literal("full"), document: Document }),
]);
type Update = z.infer<typeof Update>;

/** Patches when they are at hand, or else the whole document. */
export { Update };
