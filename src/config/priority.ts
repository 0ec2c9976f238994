/** Defines the priority classes of requests. */
import { z } from "zod";

const Priority = z.enum(["urgent", "normal", "background"]);
type Priority = z.infer<typeof Priority>;

/** The order of the values matters: the most urgent class comes first. */
export { Priority };
