/** Defines a share of a rule's split. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";
import { maxWeight } from "./maxweight.js";

const WeightedService = z.strictObject({ service: ServiceName, weight: z.int().min(0).max(maxWeight) });
type WeightedService = z.infer<typeof WeightedService>;

/** The service is sent a fraction of the rule's requests: its weight divided by the sum of all weights. */
export { WeightedService };
