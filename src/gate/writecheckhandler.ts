/** Checks a request immediately before undici writes it to its connection. */
import type { Dispatcher } from "undici";

/** Returns the error with which the request fails instead of being written; undefined if it may be written. */
type CheckWrite = () => Error | undefined;

/** Passes all events on to another handler, unless the request must not be written. */
export class WriteCheckHandler implements Dispatcher.DispatchHandler {
    constructor(private readonly handler: Dispatcher.DispatchHandler, private readonly checkWrite: CheckWrite) {}

    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        const err = this.checkWrite();
        if (err !== undefined) {
            controller.abort(err);
            return;
        }
        this.handler.onRequestStart?.(controller, context);
    }

    onResponseStart(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>): void {
        this.handler.onResponseStart?.(...args);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.handler.onResponseData?.(controller, chunk);
    }

    onResponseEnd(...args: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseEnd"]>>): void {
        this.handler.onResponseEnd?.(...args);
    }

    onResponseError(controller: Dispatcher.DispatchController, err: Error): void {
        this.handler.onResponseError?.(controller, err);
    }
}
