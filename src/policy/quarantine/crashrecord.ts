/** What daemons tell each other of one request. */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";

/** The crashes of upstreams under a request; those that were not its doing, since it was served well later, are `cleared`. */
export type CrashRecord = {
    readonly request: RequestKey;
    readonly crashes: readonly CrashId[];
    readonly cleared: readonly CrashId[];
    /** Milliseconds since the last of the crashes. */
    readonly ageMs: number;
};
