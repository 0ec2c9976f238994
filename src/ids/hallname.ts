/** Defines the name of a data hall. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const HallName = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand("HallName");
type HallName = z.infer<typeof HallName>;

/** The name of a data hall. */
export { HallName };
