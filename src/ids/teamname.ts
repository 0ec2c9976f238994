/** Defines the name of a team. */
import { z } from "zod";
import { configuredNamePattern } from "./configurednamepattern.js";

const TeamName = z.string().regex(
    configuredNamePattern,
    "must be 1 to 253 printable ASCII characters, without a blank at either end",
).brand("TeamName");
type TeamName = z.infer<typeof TeamName>;

/** The name of the team that a request is accounted to. */
export { TeamName };
