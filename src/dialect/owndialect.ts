/** Implements the dialect of callers and upstreams that use winglock's own header fields. */
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { Dialect } from "./dialect.js";
import { headerName } from "./headername.js";
import { readMs } from "./readms.js";

const MS_PER_SECOND = 1000;

/** Uses the fields that headername.ts and docs/SETTINGS.md list. */
export class OwnDialect extends Dialect {
    readonly requestId = headerName.requestId;
    readonly callersGiveIds = false;
    readonly callerTimeLimit = undefined;
    readonly timeLimit = headerName.timeout;
    readonly upstream = headerName.upstream;
    readonly callerService = headerName.caller;
    readonly key = headerName.callerKey;
    readonly team = headerName.team;
    readonly context = headerName.context;
    readonly upstreamLoad = headerName.load;
    readonly requestLimit = headerName.limit;
    readonly ownName = headerName.upstream;
    readonly outcome = headerName.outcome;
    readonly leavingIsPermanent = false;

    coldMs(headers: HttpHeaders): number | undefined {
        return readMs(headers[headerName.cold]);
    }

    notRunReason(status: number, headers: HttpHeaders): "shed" | "leaving" | undefined {
        if (status !== httpStatus.serviceUnavailable || headers[headerName.outcome] !== "not-run") {
            return undefined;
        }
        return this.isLeaving(headers) ? "leaving" : "shed";
    }

    /** Accepts a response without an id, since an upstream need not return it, unless it would prove something. */
    isOwnResponse(status: number, headers: HttpHeaders, id: string): boolean {
        const echo = headers[headerName.requestId];
        return echo === id || (echo === undefined && this.notRunReason(status, headers) === undefined);
    }

    /** Returns no id: the context field links a call to its request instead. */
    parentIdsOf(): readonly string[] {
        return [];
    }

    isLeaving(headers: HttpHeaders): boolean {
        return headers[headerName.leaving] !== undefined;
    }

    /** Returns whole seconds, at least 1 (RFC 9110, 10.2.3). */
    retryAfter(ms: number): string {
        return String(Math.max(1, Math.ceil(ms / MS_PER_SECOND)));
    }
}
