/** The clock of this process. */
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.js";

/** Steady: the time of day may jump, this does not. */
export const processClock: Clock = () => performance.now();
