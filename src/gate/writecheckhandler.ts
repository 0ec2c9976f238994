/** Checks a request immediately before undici writes it to its connection. */
import type { Dispatcher } from "undici";
import { ForwardingHandler } from "../http/forwardinghandler.js";

/** Returns the error with which the request fails instead of being written; undefined if it may be written. */
type CheckWrite = () => Error | undefined;

/** Passes all events on to another handler, unless the request must not be written. */
export class WriteCheckHandler extends ForwardingHandler {
    constructor(handler: Dispatcher.DispatchHandler, private readonly checkWrite: CheckWrite) {
        super(handler);
    }

    override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        const err = this.checkWrite();
        if (err !== undefined) {
            controller.abort(err);
            return;
        }
        super.onRequestStart(controller, context);
    }
}
