/** Defines the record of one request that daemons send each other. */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";

/**
 * The crashes of upstreams that had the request in progress. Crashes in `cleared` were not caused by the request,
 * because it was served successfully later.
 */
export type CrashRecord = {
    readonly request: RequestKey;
    readonly crashes: readonly CrashId[];
    readonly cleared: readonly CrashId[];
    /** Time since the last crash, in milliseconds. */
    readonly ageMs: number;
};
