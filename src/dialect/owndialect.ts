/** Winglock's own names, for callers and upstreams that know winglock. */
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { Dialect } from "./dialect.js";
import { headerName } from "./headername.js";
import { readMs } from "./readms.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;

/** As docs/SETTINGS.md and headername.ts list them. */
export class OwnDialect extends Dialect {
    readonly requestId = headerName.requestId;
    readonly callersGiveIds = false;
    readonly callerTimeLimit = undefined;
    readonly timeLimit = headerName.timeout;
    readonly upstream = headerName.upstream;
    readonly callerService = headerName.caller;
    readonly context = headerName.context;
    readonly upstreamLoad = headerName.load;
    readonly requestLimit = headerName.limit;
    readonly ownName = headerName.upstream;
    readonly outcome = headerName.outcome;
    readonly leavesForGood = false;

    coldMs(headers: HttpHeaders): number | undefined {
        return readMs(headers[headerName.cold]);
    }

    notRun(status: number, headers: HttpHeaders): "shed" | "leaving" | undefined {
        if (status !== httpStatus.serviceUnavailable || headers[headerName.outcome] !== "not-run") {
            return undefined;
        }
        return this.isLeaving(headers) ? "leaving" : "shed";
    }

    /** An upstream need not echo the id. */
    isOwnAnswer(_status: number, headers: HttpHeaders, id: string): boolean {
        const echo = headers[headerName.requestId];
        return echo === undefined || echo === id;
    }

    /** The context ties a call to its request. */
    parentOf(): undefined {
        return undefined;
    }

    isLeaving(headers: HttpHeaders): boolean {
        return headers[headerName.leaving] !== undefined;
    }

    /** Whole seconds (RFC 9110, 10.2.3). */
    retryAfter(ms: number): string {
        return String(Math.max(1, Math.ceil(ms / MS_PER_SECOND)));
    }
}
