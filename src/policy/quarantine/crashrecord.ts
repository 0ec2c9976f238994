/** What daemons tell each other of one request. */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";

/** The unplanned ends of upstreams under a request; those it did not bring about, since it was served well later, are `cleared`. */
export type CrashRecord = {
    readonly request: RequestKey;
    readonly crashes: readonly CrashId[];
    readonly cleared: readonly CrashId[];
    /** Milliseconds since the last of the ends. */
    readonly ageMs: number;
};
