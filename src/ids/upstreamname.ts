/** Defines the name of an upstream. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const UpstreamName = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand(
    "UpstreamName",
);
type UpstreamName = z.infer<typeof UpstreamName>;

/** The name of an upstream, one instance of a service. */
export { UpstreamName };
