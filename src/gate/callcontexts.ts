/** Links the calls that a local upstream makes to the request for which it makes them. */
import { randomBytes } from "node:crypto";
import { Cancellation } from "../http/cancellation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { TeamName } from "../ids/teamname.js";
import type { WorkTime } from "../policy/admission/worktime.js";
import { RecentSet } from "../policy/recentset.js";

/** Long enough that a token cannot be guessed. */
const TOKEN_BYTES = 12;
/** Tokens and ids of cancelled runs that are remembered: those of some seconds in which all runs are cancelled. */
const MAX_CANCELLED = 2048;

/** The context of one running request. */
type CallContext = {
    readonly token: string;
    /** The id by which the upstream knows the request. */
    readonly requestId: string;
    /** Time at which the request's time limit ends, in milliseconds on the daemon's clock. */
    readonly deadline: number;
    /** The team that the request is accounted to, and so are its calls. */
    readonly team: TeamName;
    /** Number of calls in the chain that led to the request. */
    readonly depth: number;
    /** True if the run is a repeat; the calls that it makes are repeats too. */
    readonly isRepeat: boolean;
    /** Number of calls that the run has made so far, by service. */
    readonly calls: Map<ServiceName, number>;
    /** Notified of the start and end of each call. */
    readonly work: WorkTime;
    /** Aborts when the run is cancelled: nobody needs the responses to its calls then. */
    readonly cancel: Cancellation;
    /** Set when a call of the run has failed after its own retries, so that the run's request is not retried too. */
    retriedBelow: boolean;
};

type RunDetails = Pick<CallContext, "deadline" | "team" | "depth" | "isRepeat" | "work">;

/**
 * The contexts of the requests that run at an upstream beside this daemon; a context is closed when its run ends. Only
 * the upstream knows the token, so it proves that a call is the upstream's. The id of a request does not prove this
 * where callers choose it: whoever knows the id and reaches this daemon's listener for callers while the request runs
 * can make requests that count as its calls (docs/design/teams-and-keys.md).
 */
export class CallContexts {
    readonly #byToken = new Map<string, CallContext>();
    readonly #byRequest = new Map<string, CallContext>();
    /** Tokens and request ids. */
    readonly #cancelled = new RecentSet<string>(MAX_CANCELLED);

    /** Opens the context of a run; `requestId` is the id by which the upstream knows the request. */
    open(requestId: string, details: RunDetails): CallContext {
        const token = randomBytes(TOKEN_BYTES).toString("base64url");
        const cancel = new Cancellation();
        // Each call of the run listens, and a run may make any number of calls.
        cancel.setMaxListeners(0);
        const context = { ...details, token, requestId, calls: new Map(), cancel, retriedBelow: false };
        this.#byToken.set(token, context);
        this.#byRequest.set(requestId, context);
        this.#cancelled.delete(requestId);
        return context;
    }

    /** Returns the context of the first of these requests that is running; undefined if none is. */
    findByRequests(requestIds: readonly string[]): CallContext | undefined {
        const runningId = requestIds.find(id => this.#byRequest.has(id));
        return runningId === undefined ? undefined : this.#byRequest.get(runningId);
    }

    /** Returns the context with this token; undefined if there is none. */
    findByToken(token: string | undefined): CallContext | undefined {
        return token === undefined ? undefined : this.#byToken.get(token);
    }

    /** Returns true if a run with this token, or one of these requests, was cancelled lately and does not run again. */
    wasCancelled(token: string | undefined, requestIds: readonly string[]): boolean {
        const isRunning = this.findByToken(token) ?? this.findByRequests(requestIds);
        return isRunning === undefined
            && [...requestIds, token].some(id => id !== undefined && this.#cancelled.has(id));
    }

    /**
     * Closes the context of a run that has ended; `wasCancelled`: its caller, or its deadline, has ended it. The calls that
     * it has begun are cancelled with it.
     */
    close(context: CallContext, wasCancelled: boolean): void {
        this.#byToken.delete(context.token);
        if (this.#byRequest.get(context.requestId) === context) {
            this.#byRequest.delete(context.requestId);
        }
        if (wasCancelled) {
            this.#cancelled.add(context.token);
            this.#cancelled.add(context.requestId);
            context.cancel.abort();
        }
    }
}
