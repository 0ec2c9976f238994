/** One connection to an upstream, which carries one request at a time. */
import { Transform, type TransformCallback } from "node:stream";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { Address } from "../ids/address.js";
import { isFramed } from "./isframed.js";

/** Shorter than servers usually keep an idle connection, so that they seldom close one that is just taken. */
const KEEP_ALIVE_MS = 2000;
/** Taken off what an upstream promises to keep an idle connection. */
const KEEP_ALIVE_MARGIN_MS = 1000;
/** The longest promise of an upstream that is believed, in milliseconds. */
const MAX_KEEP_ALIVE_MS = 30_000;
/** An upstream on the same host accepts within milliseconds, unless it is full. */
const CONNECT_TIMEOUT_MS = 1000;

/** Reconnects by itself after its end; knows whether the last end was a reset. */
export class UpstreamConnection {
    readonly #client: Client;
    #wasReset = false;

    constructor(address: Address, localIp: string) {
        const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
        this.#client = new Client(`http://${address}`, {
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_MS,
            keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            localAddress: localIp,
            connect: (options, callback) =>
                connect(options, (...result) => {
                    const [, socket] = result;
                    this.#wasReset = false;
                    socket?.once("error", () => this.#wasReset = true);
                    callback(...result);
                }),
        });
    }

    async request(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
        return await this.#client.request(options);
    }

    /**
     * The body, with an end that can be trusted: one without a length ends with its connection, and after a reset
     * that is no end.
     */
    checkedBody({ body, headers }: Dispatcher.ResponseData): Dispatcher.ResponseData["body"] | Transform {
        if (isFramed(headers)) {
            return body;
        }
        const flush = (callback: TransformCallback): void =>
            callback(this.#wasReset ? new Error("the connection was reset before the end") : null);
        const checked = new Transform({ transform: (chunk, _encoding, callback) => callback(null, chunk), flush });
        body.on("error", err => checked.destroy(err));
        checked.on("close", () => body.destroy());
        return body.pipe(checked);
    }

    /** Ends after what is in flight. */
    close(): Promise<void> {
        return this.#client.close();
    }

    /** Cuts it. */
    destroy(): void {
        void this.#client.destroy();
    }
}
