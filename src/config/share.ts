/** One part of a rule's split. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";

/** Keeps the sum of all weights exact. */
const MAX_WEIGHT = 1_000_000;

const Share = z.strictObject({ service: ServiceName, weight: z.int().min(0).max(MAX_WEIGHT) });
type Share = z.infer<typeof Share>;

/** A service and the weight of its part of the requests. */
export { Share };
