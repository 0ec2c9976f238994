/** Creates the crash records of the requests that were in progress at a crash. */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import type { CrashRecord } from "./crashrecord.js";

/** Returns a record for each request, of a crash that has just happened. */
export function toCrashRecords(crash: CrashId, requests: readonly RequestKey[]): CrashRecord[] {
    return requests.map(request => ({ request, crashes: [crash], cleared: [], ageMs: 0 }));
}
