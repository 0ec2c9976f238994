/** Defines the name of a service. */
import { z } from "zod";
import { configuredNamePattern } from "./configurednamepattern.js";

const ServiceName = z.string().regex(
    configuredNamePattern,
    "must be 1 to 253 printable ASCII characters, without a blank at either end",
).brand("ServiceName");
type ServiceName = z.infer<typeof ServiceName>;

/** The name of a service. */
export { ServiceName };
