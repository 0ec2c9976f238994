/** Defines a share of a rule's split. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";

/** Small enough that the sum of all weights is exact. */
const MAX_WEIGHT = 1_000_000;

const WeightedService = z.strictObject({ service: ServiceName, weight: z.int().min(0).max(MAX_WEIGHT) });
type WeightedService = z.infer<typeof WeightedService>;

/** The service is sent a fraction of the rule's requests: its weight divided by the sum of all weights. */
export { WeightedService };
