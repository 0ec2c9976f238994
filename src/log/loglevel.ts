/** Defines the log levels. */
import { z } from "zod";

const LogLevel = z.enum(["info", "warn", "error", "silent"]);
type LogLevel = z.infer<typeof LogLevel>;

/** The most verbose level comes first; `silent` writes nothing. */
export { LogLevel };
