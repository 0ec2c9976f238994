/** Names the only team of a simulation, which does not cover fairness between teams. */
import type { TeamName } from "../../ids/teamname.js";

/** The team of all requests. */
export const modelTeam = "none" as TeamName;
