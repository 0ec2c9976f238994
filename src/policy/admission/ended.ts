/** What is known of a request that has ended at its upstream. */
import type { RuleName } from "../../ids/rulename.js";

/** Its rule, its work's time (worktime.ts), the upstream's pace when it began. */
export type Ended = { readonly rule?: RuleName; readonly work: Float64Array; readonly pace?: number; };
