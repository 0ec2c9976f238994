/** Passes the events of a request on to another handler; subclasses change some of them. */
import type { Dispatcher } from "undici";

type Handler = Dispatcher.DispatchHandler;
type Arguments<Event extends keyof Handler> = Parameters<NonNullable<Handler[Event]>>;

export abstract class ForwardingHandler implements Handler {
    constructor(protected readonly handler: Handler) {}

    onRequestStart(...args: Arguments<"onRequestStart">): void {
        this.handler.onRequestStart?.(...args);
    }

    onResponseStart(...args: Arguments<"onResponseStart">): void {
        this.handler.onResponseStart?.(...args);
    }

    onResponseData(...args: Arguments<"onResponseData">): void {
        this.handler.onResponseData?.(...args);
    }

    onResponseEnd(...args: Arguments<"onResponseEnd">): void {
        this.handler.onResponseEnd?.(...args);
    }

    onResponseError(...args: Arguments<"onResponseError">): void {
        this.handler.onResponseError?.(...args);
    }
}
