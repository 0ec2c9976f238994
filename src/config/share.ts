/** Defines a share of a rule's split. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";

/** Small enough that the sum of all weights is exact. */
const MAX_WEIGHT = 1_000_000;

const Share = z.strictObject({ service: ServiceName, weight: z.int().min(0).max(MAX_WEIGHT) });
type Share = z.infer<typeof Share>;

/** The service is sent a fraction of the rule's requests: its weight divided by the sum of all weights. */
export { Share };
