/** Checks a load report that comes from a peer. */
import { z } from "zod";
import type { LoadReport } from "../policy/placement/loadreport.js";

/** As in policy/placement/loadreport.ts, which knows nothing of schemas. */
export const loadReportSchema: z.ZodType<LoadReport> = z.object({
    running: z.number(),
    waiting: z.number(),
    limit: z.number(),
    serviceMs: z.number(),
    baseMs: z.number(),
    pace: z.number().optional(),
});
