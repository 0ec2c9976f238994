/** Links the calls that a local upstream makes to the request for which it makes them. */
import { randomBytes } from "node:crypto";
import type { ServiceName } from "../ids/servicename.js";
import type { WorkTime } from "../policy/admission/worktime.js";

/** Long enough that a token cannot be guessed. */
const TOKEN_BYTES = 12;

/** The context of one running request. */
type CallContext = {
    readonly token: string;
    /** The id by which the upstream knows the request. */
    readonly requestId: string;
    /** Time at which the request's time limit ends, in milliseconds on the daemon's clock. */
    readonly deadline: number;
    /** Number of calls in the chain that led to the request. */
    readonly depth: number;
    /** True if the run is a repeat; the calls that it makes are repeats too. */
    readonly isRepeat: boolean;
    /** Number of calls that the run has made so far, by service. */
    readonly calls: Map<ServiceName, number>;
    /** Notified of the start and end of each call. */
    readonly work: WorkTime;
    /** Set when a call of the run has failed after its own retries, so that the run's request is not retried too. */
    retriedBelow: boolean;
};

type RunDetails = Pick<CallContext, "deadline" | "depth" | "isRepeat" | "work">;

/**
 * The contexts of the running requests, by token. A caller cannot guess a token, so it cannot set its own depth or
 * deadline.
 */
export class CallContexts {
    readonly #byToken = new Map<string, CallContext>();
    readonly #byRequest = new Map<string, CallContext>();

    /** Opens the context of a run; `requestId` is the id by which the upstream knows the request. */
    open(requestId: string, { deadline, depth, isRepeat, work }: RunDetails): CallContext {
        const token = randomBytes(TOKEN_BYTES).toString("base64url");
        const context = { token, requestId, deadline, depth, isRepeat, work, calls: new Map(), retriedBelow: false };
        this.#byToken.set(token, context);
        this.#byRequest.set(requestId, context);
        return context;
    }

    /** Returns the context of the running request with this id; undefined if there is none. */
    findByRequest(requestId: string | undefined): CallContext | undefined {
        return requestId === undefined ? undefined : this.#byRequest.get(requestId);
    }

    /** Returns the context with this token; undefined if there is none. */
    findByToken(token: string | undefined): CallContext | undefined {
        return token === undefined ? undefined : this.#byToken.get(token);
    }

    close(context: CallContext): void {
        this.#byToken.delete(context.token);
        if (this.#byRequest.get(context.requestId) === context) {
            this.#byRequest.delete(context.requestId);
        }
    }
}
