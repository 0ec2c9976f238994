/** Fails a response that is invalid, or that ended with a connection that the peer reset. */
import { DecoratorHandler, type Dispatcher } from "undici";
import { bodyFraming } from "./bodyframing.js";
import type { ConnectionEnd } from "./connectionend.js";
import { ForwardingHandler } from "./forwardinghandler.js";
import type { HttpHeaders } from "./httpheaders.js";
import { InvalidResponseError } from "./invalidresponseerror.js";

const FIRST_FINAL_STATUS = 200;
/** The largest valid status (RFC 9110, section 15). */
const LAST_STATUS = 599;

const headError = (status: number, headers: HttpHeaders): InvalidResponseError | undefined => {
    if (status > LAST_STATUS) {
        return new InvalidResponseError(`the response has the status ${status}, which is not valid`);
    }
    if (bodyFraming(headers) === "unknown") {
        const codings = String(headers["transfer-encoding"]);
        return new InvalidResponseError(`the response has the transfer codings "${codings}", which can't be decoded`);
    }
    return undefined;
};

/** A response with a length or chunked framing ends before its connection; undici fails one that does not. */
export class ResponseCheckHandler extends ForwardingHandler {
    #connectionEnd: ConnectionEnd | undefined;

    /** `currentEnd` returns the end of the connection to which the request is being written. */
    constructor(handler: Dispatcher.DispatchHandler, private readonly currentEnd: () => ConnectionEnd | undefined) {
        // Also accepts the handlers of undici's own methods, which have another form.
        super(new DecoratorHandler(handler));
    }

    override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#connectionEnd = this.currentEnd();
        this.#connectionEnd?.beginRequest(controller);
        super.onRequestStart(controller, context);
    }

    /** Leaves informational responses out: a DecoratorHandler accepts one head. */
    override onResponseStart(...args: Parameters<ForwardingHandler["onResponseStart"]>): void {
        const [controller, status, headers] = args;
        if (status < FIRST_FINAL_STATUS) {
            return;
        }
        const err = headError(status, headers);
        if (err === undefined) {
            super.onResponseStart(...args);
            return;
        }
        controller.abort(err);
    }

    /** A slow reader pauses the response with each part. After the end of the connection it must not stay paused. */
    override onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        super.onResponseData(controller, chunk);
        if (this.#connectionEnd?.hasEnded) {
            controller.resume();
        }
    }

    override onResponseEnd(...args: Parameters<ForwardingHandler["onResponseEnd"]>): void {
        const [controller] = args;
        const err = this.#connectionEnd?.error;
        if (err !== undefined) {
            this.onResponseError(controller, err);
            return;
        }
        this.#connectionEnd?.endRequest();
        super.onResponseEnd(...args);
    }

    override onResponseError(...args: Parameters<ForwardingHandler["onResponseError"]>): void {
        this.#connectionEnd?.endRequest();
        super.onResponseError(...args);
    }
}
