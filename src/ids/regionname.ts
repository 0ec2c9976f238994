/** Defines the name of a region. */
import { z } from "zod";
import { configuredNamePattern } from "./configurednamepattern.js";

const RegionName = z.string().regex(
    configuredNamePattern,
    "must be 1 to 253 printable ASCII characters, without a blank at either end",
).brand("RegionName");
type RegionName = z.infer<typeof RegionName>;

/** The name of a region, a group of data halls. */
export { RegionName };
