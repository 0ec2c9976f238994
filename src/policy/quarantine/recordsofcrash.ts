/** What one crash says of the requests that were under way. */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import type { CrashRecord } from "./crashrecord.js";

/** A record for each, as of now. */
export function recordsOfCrash(crash: CrashId, requests: readonly RequestKey[]): CrashRecord[] {
    return requests.map(request => ({ request, crashes: [crash], cleared: [], ageMs: 0 }));
}
