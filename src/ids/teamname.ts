/** The name of the party on whose account a request is served. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const TenantName = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand(
    "TenantName",
);
type TenantName = z.infer<typeof TenantName>;

/** The name of the party on whose account a request is served. */
export { TenantName };
