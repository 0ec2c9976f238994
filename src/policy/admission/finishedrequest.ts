/** Describes what admission learns from a request that has finished at its upstream. */
import type { RuleName } from "../../ids/rulename.js";

/**
 * `work` is the time in milliseconds that the upstream worked on the request at each concurrency level (worktime.ts);
 * `pace` is the upstream's pace when the request started.
 */
export type FinishedRequest = { readonly rule?: RuleName; readonly work: Float64Array; readonly pace?: number; };
