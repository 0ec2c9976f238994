/** Sends HTTP/1.1 requests over one connection at a time; every response that the daemon reads is received by it. */
import { buildConnector, Client, type Dispatcher } from "undici";
import { ConnectionEnd } from "./connectionend.js";
import { ResponseCheckHandler } from "./responsecheckhandler.js";

/**
 * A client of undici for which a response without a length, which ends with its connection, is complete only if the peer
 * ended the connection in order: after a reset, the request or the body fails with a ConnectionResetError. The request
 * fails with an InvalidResponseError if the response's head is invalid.
 */
export class HttpClient extends Client {
    readonly #currentEnd: () => ConnectionEnd | undefined;

    constructor(origin: string | URL, options: Client.Options = {}) {
        const connect = typeof options.connect === "function" ? options.connect : buildConnector(options.connect ?? {});
        let connectionEnd: ConnectionEnd | undefined;
        const connectWatched: buildConnector.connector = (target, callback) =>
            connect(target, (...result) => {
                const [, socket] = result;
                connectionEnd = socket ? new ConnectionEnd(socket) : undefined;
                callback(...result);
            });
        super(origin, { ...options, connect: connectWatched });
        this.#currentEnd = () => connectionEnd;
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        return super.dispatch(options, new ResponseCheckHandler(handler, this.#currentEnd));
    }
}
