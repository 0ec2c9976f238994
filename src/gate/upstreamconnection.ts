/** Manages one connection to an upstream; it carries one request at a time. */
import { buildConnector, type Dispatcher } from "undici";
import { HttpClient } from "../http/httpclient.js";
import type { Address } from "../ids/address.js";
import { CarriedIds } from "./carriedids.js";
import { WriteCheckHandler } from "./writecheckhandler.js";

/** Callbacks of one request. */
type RequestEvents = {
    /** Called when a connection has been established for the request; not called if an open one is reused. */
    readonly onConnected?: () => void;
    /** Called immediately before the request is written; it fails with the returned error instead, if there is one. */
    readonly checkWrite: () => Error | undefined;
};

/** Shorter than servers usually keep idle connections open, so that they seldom close one that is just being reused. */
const KEEP_ALIVE_MS = 2000;
/** Subtracted from the keep-alive time that an upstream states. */
const KEEP_ALIVE_MARGIN_MS = 1000;
/** Upper bound of the keep-alive time that an upstream states. */
const MAX_KEEP_ALIVE_MS = 30_000;
/** An upstream on the same host accepts connections within milliseconds, unless it is full. */
const CONNECT_TIMEOUT_MS = 1000;

/** Reconnects when its connection has ended. */
export class UpstreamConnection {
    readonly #client: HttpClient;
    /** The client, with the check before each write. */
    readonly #checkedClient: Dispatcher;
    #carriedIds = new CarriedIds();
    #events: RequestEvents = { checkWrite: () => undefined };

    constructor(address: Address, localIp: string) {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        this.#client = new HttpClient(`http://${address}`, {
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            localAddress: localIp,
            connect: (options, callback) =>
                connect(options, (...result) => {
                    this.#carriedIds = new CarriedIds();
                    this.#events.onConnected?.();
                    callback(...result);
                }),
        });
        this.#checkedClient = this.#client.compose(dispatch => (options, handler) =>
            dispatch(options, new WriteCheckHandler(handler, () => this.#events.checkWrite()))
        );
    }

    /** True if a request with this id was written to the current connection, or to the last one if it has ended. */
    hasCarried(id: string): boolean {
        return this.#carriedIds.has(id);
    }

    /** Records that a request was written; no attempt with its id is sent after `deadline`. */
    recordCarried(id: string, deadline: number, now: number): void {
        this.#carriedIds.add(id, deadline, now);
    }

    /** Sends a request; undici may write it later, after it has connected. The previous request must have ended. */
    async request(options: Dispatcher.RequestOptions, events: RequestEvents): Promise<Dispatcher.ResponseData> {
        this.#events = events;
        return await this.#checkedClient.request(options);
    }

    /** Closes the connection after the request in flight has ended. */
    close(): Promise<void> {
        return this.#client.close();
    }

    /** Closes the connection at once. */
    destroy(): void {
        void this.#client.destroy();
    }
}
