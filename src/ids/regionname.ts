/** Defines the name of a region. */
import type { z } from "zod";
import { ConfiguredName } from "./configuredname.js";

const RegionName = ConfiguredName.brand("RegionName");
type RegionName = z.infer<typeof RegionName>;

/** The name of a region, a group of data halls. */
export { RegionName };
