/**
 * Defines the header fields that winglock exchanges with callers and upstreams: their names and the reading of their
 * values.
 */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { StatedLimit } from "../policy/rate/statedlimit.js";
import { readLimit } from "./readlimit.js";
import { readLoad } from "./readload.js";
import type { UpstreamLoad } from "./upstreamload.js";

/** Names are in lower case. A field from an upstream is proof only where the comment of a method says so. */
export abstract class Dialect {
    /** Carries the id of the attempt on requests; an upstream may return it in its response. */
    abstract readonly requestId: string;
    /** True if callers give each attempt an id of their own, which is passed on to the upstream. */
    abstract readonly callersGiveIds: boolean;
    /** Carries the time limit of a caller in milliseconds; undefined if callers can't give one. */
    abstract readonly callerTimeLimit: string | undefined;
    /** Informs an upstream of the milliseconds left until the deadline. */
    abstract readonly timeLimit: string;
    /** Names the upstream that a request is for. */
    abstract readonly upstream: string;
    /** Names the service on the host that a request to an upstream comes from. */
    abstract readonly callerService: string;
    /** Carries the caller's key; never sent to upstreams where the document has teams. */
    abstract readonly key: string;
    /** Names the team of the caller to an upstream. */
    abstract readonly team: string;
    /** Links a call to its request: sent to upstreams, and returned by them on the calls that they make. */
    abstract readonly context: string;
    /** Carries the load report of an upstream. */
    abstract readonly upstreamLoad: string;
    /** Carries the rate limit that an upstream states, in requests per second. */
    abstract readonly requestLimit: string;
    /** Carries the name that an upstream states for itself on its health endpoint. */
    abstract readonly ownName: string;
    /** Lists the fields of a caller's request that identify who sends it, if present. */
    readonly callerFields: readonly string[] = ["authorization", "cookie"];
    /** Carries the outcome to callers when a request fails: `not-run` or `unknown`. */
    abstract readonly outcome: string;

    /**
     * Returns the id by which callers and upstreams know a request: the caller's if callers give one, otherwise
     * `ownId`.
     */
    idOf(headers: HttpHeaders, ownId: string): string {
        const given = this.callersGiveIds ? headers[this.requestId] : undefined;
        return typeof given === "string" ? given : ownId;
    }

    /** Returns the upstream's load report, or undefined if there is none or it is unreadable. */
    load(headers: HttpHeaders): UpstreamLoad | undefined {
        return readLoad(headers[this.upstreamLoad]);
    }

    /** Returns the upstream's stated rate limit. */
    limit(headers: HttpHeaders): StatedLimit {
        return readLimit(headers[this.requestLimit]);
    }

    /** Returns the upstream's name as it states it, or undefined if it states none. */
    upstreamName(headers: HttpHeaders): string | undefined {
        const name = headers[this.ownName];
        return typeof name === "string" ? name : undefined;
    }

    /**
     * Returns true if the response can be that of this upstream to a health probe. A probe carries no id, so a response
     * with one belongs to a request.
     */
    isHealthResponse(headers: HttpHeaders, upstream: UpstreamName): boolean {
        const name = this.upstreamName(headers);
        return headers[this.requestId] === undefined && (name === undefined || name === upstream);
    }

    /** Returns for how many milliseconds the upstream stays cold by its health endpoint, or undefined if not stated. */
    abstract coldMs(headers: HttpHeaders): number | undefined;
    /**
     * Returns why the upstream has provably not run the request to which it responds, or undefined if it may have run
     * it. Proves nothing unless `isOwnResponse` is true.
     */
    abstract notRunReason(status: number, headers: HttpHeaders): "shed" | "leaving" | "misdirected" | undefined;
    /** Returns true if the response is the upstream's own response to the request with this id. */
    abstract isOwnResponse(status: number, headers: HttpHeaders, id: string): boolean;
    /**
     * Returns the ids that the request during which an upstream makes this call may have, the most likely first; empty
     * if the call does not show it. The caller chooses them, so they prove nothing.
     */
    abstract parentIdsOf(headers: HttpHeaders): readonly string[];
    /** Returns true if the upstream reports that it is about to stop. */
    abstract isLeaving(headers: HttpHeaders): boolean;
    /** True if an upstream that leaves never returns under its name. */
    abstract readonly leavingIsPermanent: boolean;
    /** Returns the value of `retry-after` for a time in milliseconds. */
    abstract retryAfter(ms: number): string;
}
