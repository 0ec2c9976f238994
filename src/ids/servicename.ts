/** Defines the name of a service. */
import type { z } from "zod";
import { ConfiguredName } from "./configuredname.js";

const ServiceName = ConfiguredName.brand("ServiceName");
type ServiceName = z.infer<typeof ServiceName>;

/** The name of a service. */
export { ServiceName };
