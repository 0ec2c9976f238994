/** Provides the monotonic clock of this process. */
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.js";

/** Does not jump with changes of the system time. */
export const processClock: Clock = () => performance.now();
