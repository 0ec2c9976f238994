/** Validates a load report received from a peer. */
import { z } from "zod";
import type { LoadReport } from "../policy/placement/loadreport.js";

/** Schema of the report in policy/placement/loadreport.ts, which does not depend on a schema library. */
export const loadReportSchema: z.ZodType<LoadReport> = z.object({
    running: z.number(),
    waiting: z.number(),
    limit: z.number(),
    serviceMs: z.number(),
    baseMs: z.number(),
    pace: z.number().optional(),
});
