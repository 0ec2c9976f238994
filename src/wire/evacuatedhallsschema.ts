/** Validates a peer's report on evacuated halls. */
import { z } from "zod";
import { HallName } from "../ids/hallname.js";
import type { EvacuatedHalls } from "../policy/halls/evacuatedhalls.js";

/** Maximum number of halls; a datagram has room for the names of fewer. */
const MAX_EVACUATED_HALLS = 1024;

/** Schema of the state in policy/halls/evacuatedhalls.ts, which does not depend on a schema library. */
export const evacuatedHallsSchema: z.ZodType<EvacuatedHalls> = z.object({
    mark: z.object({ era: z.int().min(0), revision: z.int().min(0) }),
    halls: z.array(HallName).max(MAX_EVACUATED_HALLS),
});
