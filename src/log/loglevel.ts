/** How much is logged. */
import { z } from "zod";

const LogLevel = z.enum(["info", "warn", "error", "silent"]);
type LogLevel = z.infer<typeof LogLevel>;

/** The most talkative first; `silent` writes nothing. */
export { LogLevel };
