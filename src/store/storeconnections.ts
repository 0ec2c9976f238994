/**
 * Pools a daemon's connections to the store, for calls or for watches.
 *
 * The most recently used idle connection is used first, and a new one is opened only if none is idle. If all open
 * connections have become unresponsive, the next call therefore detects it.
 */
import type { Dispatcher } from "undici";
import { bufferBody } from "../http/bufferbody.js";
import { destroyBody } from "../http/destroybody.js";
import { HttpClient } from "../http/httpclient.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";

/** Generous for a store on the same network, which accepts a connection within milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/** Many times the size of the largest response; bounds the memory that a faulty store can make this daemon use. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** `maxClients` is the maximum number of connections; further calls wait for one. */
type ConnectionOptions = { readonly address: Address; readonly localIp: string; readonly maxClients: number; };

type HttpResponse = { readonly status: number; readonly headers: HttpHeaders; readonly text: string; };

/** Each connection carries one call at a time. */
export class StoreConnections {
    readonly #clients: HttpClient[] = [];
    readonly #idle: HttpClient[] = [];

    constructor(private readonly options: ConnectionOptions) {}

    /**
     * Sends a request and reads the response; rejects with the connection's error or the signal's reason, or if the
     * response is too long. Calls `onData` for the head and each part of the body that is received.
     */
    async request(options: Dispatcher.RequestOptions, onData: () => void): Promise<HttpResponse> {
        const client = this.#acquire();
        try {
            const { statusCode: status, headers, body } = await client.request(options);
            onData();
            body.on("data", onData);
            const { isComplete, bytes } = await bufferBody(body, MAX_RESPONSE_BYTES);
            if (!isComplete) {
                destroyBody(body);
                throw new Error(`the response to ${options.path} is longer than ${MAX_RESPONSE_BYTES} bytes`);
            }
            return { status, headers, text: bytes.toString() };
        }
        finally {
            this.#release(client);
        }
    }

    /** Closes the connections after the calls in progress. */
    async close(): Promise<void> {
        await Promise.all(this.#clients.map(client => client.close()));
    }

    /** Closes the connections at once; calls in progress fail. */
    async destroy(): Promise<void> {
        await Promise.all(this.#clients.map(client => client.destroy()));
    }

    #acquire(): HttpClient {
        const idle = this.#idle.pop();
        if (idle !== undefined) {
            return idle;
        }
        return this.#clients.length < this.options.maxClients ? this.#open() : this.#clients[0]!;
    }

    /** Marks the connection as idle, unless another call that shared it has already done so. */
    #release(client: HttpClient): void {
        if (!this.#idle.includes(client)) {
            this.#idle.push(client);
        }
    }

    #open(): HttpClient {
        const { address, localIp: localAddress } = this.options;
        const client = new HttpClient(`http://${address}`, { localAddress, connect: { timeout: CONNECT_TIMEOUT_MS } });
        this.#clients.push(client);
        return client;
    }
}
