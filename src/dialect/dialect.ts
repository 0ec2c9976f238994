/** The header fields of callers and upstreams that concern winglock: their names, and how their values are read. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { StatedLimit } from "../policy/rate/statedlimit.js";
import { readLimit } from "./readlimit.js";
import { readLoad } from "./readload.js";
import type { UpstreamLoad } from "./upstreamload.js";

/** Names are in lower case; what an upstream sends proves something only where a method here says so. */
export abstract class Dialect {
    /** On requests: the id of the attempt, which an upstream may send back. */
    abstract readonly requestId: string;
    /** True when callers give each attempt an id of their own, which goes on to the upstream. */
    abstract readonly callersGiveIds: boolean;
    /** From callers: milliseconds that they will wait; undefined where they have no say. */
    abstract readonly callerTimeLimit: string | undefined;
    /** To upstreams: milliseconds that are left. */
    abstract readonly timeLimit: string;
    /** To upstreams: the name of the upstream that is meant. */
    abstract readonly upstream: string;
    /** To upstreams: the service from whose host the request comes. */
    abstract readonly callerService: string;
    /** To upstreams, and back from them on their own calls: ties a call to its request. */
    abstract readonly context: string;
    /** From upstreams: what they report of their load. */
    abstract readonly upstreamLoad: string;
    /** From upstreams in need: how many requests a second they take. */
    abstract readonly requestLimit: string;
    /** From upstreams, on their health endpoints: their own names. */
    abstract readonly ownName: string;
    /** From callers: whose request it is, as far as they say. */
    readonly callerFields: readonly string[] = ["authorization", "cookie"];
    /** To callers: `not-run` or `unknown`. */
    abstract readonly outcome: string;

    /** The id by which callers and upstreams know a request: the caller's own where callers give one, else `own`. */
    idOf(headers: HttpHeaders, own: string): string {
        const given = this.callersGiveIds ? headers[this.requestId] : undefined;
        return typeof given === "string" ? given : own;
    }

    /** What the upstream reports of its load; undefined when it reports nothing that can be read. */
    load(headers: HttpHeaders): UpstreamLoad | undefined {
        return readLoad(headers[this.upstreamLoad]);
    }

    /** How many requests a second the upstream takes, as far as it says. */
    limit(headers: HttpHeaders): StatedLimit {
        return readLimit(headers[this.requestLimit]);
    }

    /** The name that an upstream gives itself; undefined when it gives none. */
    upstreamName(headers: HttpHeaders): string | undefined {
        const name = headers[this.ownName];
        return typeof name === "string" ? name : undefined;
    }

    /** For how much longer the upstream is cold by its health endpoint, in milliseconds; undefined when it does not say. */
    abstract coldMs(headers: HttpHeaders): number | undefined;
    /** Why the upstream has certainly not run the request, undefined when it may have. */
    abstract notRun(status: number, headers: HttpHeaders): "shed" | "leaving" | "misdirected" | undefined;
    /** True when the answer is the upstream's own to the request with this id. */
    abstract isOwnAnswer(status: number, headers: HttpHeaders, id: string): boolean;
    /** The id of the request for which an upstream makes this call, as far as the call shows. */
    abstract parentOf(headers: HttpHeaders): string | undefined;
    /** True when the upstream reports that it is about to stop. */
    abstract isLeaving(headers: HttpHeaders): boolean;
    /** True where an upstream that leaves does not come back under its name. */
    abstract readonly leavesForGood: boolean;
    /** The value of `retry-after`. */
    abstract retryAfter(ms: number): string;
}
