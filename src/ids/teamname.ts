/** Defines the name of a team. */
import type { z } from "zod";
import { ConfiguredName } from "./configuredname.js";

const TeamName = ConfiguredName.brand("TeamName");
type TeamName = z.infer<typeof TeamName>;

/** The name of the team that a request is accounted to. */
export { TeamName };
