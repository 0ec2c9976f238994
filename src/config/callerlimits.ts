/** Defines the limits that an operator can set on requests and connections of callers. */
import { z } from "zod";
import { callerLimitBounds } from "./callerlimitbounds.js";

const limitSchema = ({ min, max }: { readonly min: number; readonly max: number; }): z.ZodOptional<z.ZodInt> =>
    z.int().min(min).max(max).optional();

const CallerLimits = z.strictObject({
    headerBytes: limitSchema(callerLimitBounds.headerBytes),
    bodyBytes: limitSchema(callerLimitBounds.bodyBytes),
    headersTimeoutMs: limitSchema(callerLimitBounds.headersTimeoutMs),
    keepAliveMs: limitSchema(callerLimitBounds.keepAliveMs),
});
type CallerLimits = z.infer<typeof CallerLimits>;

/** A limit that is omitted is taken from the daemon's settings. Sizes are bytes, times are milliseconds. */
export { CallerLimits };
