/** Models have one team: fairness between teams is tested where it is decided. */
import type { TeamName } from "../../ids/teamname.js";

/** Of all requests in a model. */
export const modelTeam = "none" as TeamName;
