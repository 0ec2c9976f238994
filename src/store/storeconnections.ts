/**
 * One daemon's connections to the store, for one kind of calls.
 *
 * The one that was used last is used first, so that a call opens no new one while one rests: then the next call shows when all that is
 * open has gone silent.
 */
import { Client, type Dispatcher } from "undici";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";

/** A store on the same network accepts a connection within milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Where the store is; `most` connections at once, over which further calls wait for one. */
type ConnectionOptions = { readonly address: Address; readonly localIp: string; readonly most: number; };

type Answer = { readonly status: number; readonly headers: HttpHeaders; readonly text: string; };

/** Each carries one call at a time. */
export class StoreConnections {
    readonly #all: Client[] = [];
    readonly #idle: Client[] = [];

    constructor(private readonly options: ConnectionOptions) {}

    /** Rejects as the connection does, or as the signal says. */
    async request(options: Dispatcher.RequestOptions): Promise<Answer> {
        const client = this.#take();
        try {
            const { statusCode: status, headers, body } = await client.request(options);
            return { status, headers, text: await body.text() };
        }
        finally {
            this.#give(client);
        }
    }

    /** Ends them after what is in flight. */
    async close(): Promise<void> {
        await Promise.all(this.#all.map(client => client.close()));
    }

    /** Cuts them. */
    async destroy(): Promise<void> {
        await Promise.all(this.#all.map(client => client.destroy()));
    }

    #take(): Client {
        const idle = this.#idle.pop();
        if (idle !== undefined) {
            return idle;
        }
        return this.#all.length < this.options.most ? this.#open() : this.#all[0]!;
    }

    /** One that several calls wait for is not idle before the last of them has ended. */
    #give(client: Client): void {
        if (!this.#idle.includes(client)) {
            this.#idle.push(client);
        }
    }

    #open(): Client {
        const { address, localIp: localAddress } = this.options;
        const client = new Client(`http://${address}`, { localAddress, connect: { timeout: CONNECT_TIMEOUT_MS } });
        this.#all.push(client);
        return client;
    }
}
