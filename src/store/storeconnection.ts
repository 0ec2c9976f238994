/** One daemon's connections to a store that speaks HTTP. */
import { Pool } from "undici";
import { isConnectError } from "../hop/connecterror.js";
import type { Address } from "../ids/address.js";
import { StoreError } from "./storeerror.js";

const CONNECT_TIMEOUT_MS = 500;
/** Refusals, for rate or outage, that prove that nothing was done. */
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

/** `counted` hears of each call that was answered, and its bytes. */
type ConnectionOptions = {
    readonly address: Address;
    readonly localIp: string;
    readonly connections: number;
    readonly counted: (bytes: number) => void;
};

type Call = {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal: AbortSignal;
};

type Reply = { readonly status: number; readonly text: string; };

/** A call that gets no answer may have been done. */
export class StoreConnection {
    readonly #pool: Pool;

    constructor(private readonly options: ConnectionOptions) {
        const { address, localIp, connections } = options;
        this.#pool = new Pool(`http://${address}`, {
            connections,
            localAddress: localIp,
            connect: { timeout: CONNECT_TIMEOUT_MS },
        });
    }

    /** Throws a StoreError when no answer comes, whatever its status. */
    async send(call: Call): Promise<Reply> {
        try {
            const { statusCode, body } = await this.#pool.request(call);
            const text = await body.text();
            this.options.counted(text.length + (call.body?.length ?? 0));
            return { status: statusCode, text };
        }
        catch (err) {
            throw new StoreError(!isConnectError(err), "the store did not answer", { cause: err });
        }
    }

    /** The error for an answer with a status that was not asked for. */
    refused(status: number): StoreError {
        return new StoreError(!REFUSALS.has(status), `the store answered ${status}`);
    }

    close(): Promise<void> {
        return this.#pool.destroy();
    }
}
