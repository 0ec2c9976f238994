/** The class of a request. */
import { z } from "zod";

const Priority = z.enum(["urgent", "normal", "background"]);
type Priority = z.infer<typeof Priority>;

/** The class of a request, most urgent first. */
export { Priority };
