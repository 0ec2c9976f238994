/** Ties the calls that a local upstream makes to the request that it makes them for. */
import { randomBytes } from "node:crypto";
import type { ServiceName } from "../ids/servicename.js";
import type { WorkTime } from "../policy/admission/worktime.js";

/** Too many to be guessed. */
const TOKEN_BYTES = 12;

/** `deadline` is on the daemon's clock; `calls` are those made for it so far, `retriedBelow` is set when one has failed. */
type CallContext = {
    readonly token: string;
    readonly requestId: string;
    readonly deadline: number;
    readonly depth: number;
    /** The run is not the first of its request, so that its calls are not either. */
    readonly repeated: boolean;
    readonly calls: Map<ServiceName, number>;
    /** Told of each call's begin and end. */
    readonly work: WorkTime;
    retriedBelow: boolean;
};

type RunDetails = Pick<CallContext, "deadline" | "depth" | "repeated" | "work">;

/** The contexts of what runs, by token; a token can't be guessed, so a caller can't set its own depth or time. */
export class CallContexts {
    readonly #byToken = new Map<string, CallContext>();
    readonly #byRequest = new Map<string, CallContext>();

    /** `requestId` is the id by which the upstream knows the request. */
    open(requestId: string, { deadline, depth, repeated, work }: RunDetails): CallContext {
        const token = randomBytes(TOKEN_BYTES).toString("base64url");
        const context = { token, requestId, deadline, depth, repeated, work, calls: new Map(), retriedBelow: false };
        this.#byToken.set(token, context);
        this.#byRequest.set(requestId, context);
        return context;
    }

    /** The context of the request with this id, while it runs. */
    ofRequest(requestId: string | undefined): CallContext | undefined {
        return requestId === undefined ? undefined : this.#byRequest.get(requestId);
    }

    find(token: string | undefined): CallContext | undefined {
        return token === undefined ? undefined : this.#byToken.get(token);
    }

    close(context: CallContext): void {
        this.#byToken.delete(context.token);
        if (this.#byRequest.get(context.requestId) === context) {
            this.#byRequest.delete(context.requestId);
        }
    }
}
