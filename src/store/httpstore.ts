/** The platform's key-value service over HTTP; docs/DESIGN.md describes the calls. */
import { Pool } from "undici";
import { z } from "zod";
import { isConnectError } from "../hop/connecterror.js";
import type { Address } from "../ids/address.js";
import { Store } from "./store.js";
import type { Stored } from "./stored.js";
import { StoredHost } from "./storedhost.js";
import { StoreError } from "./storeerror.js";

const KEY_PATH = "/v1/kv/winglock";
const HOSTS_PATH = "/v1/hosts";
const CALL_TIMEOUT_MS = 1500;
const WATCH_MS = 5000;
const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const CONFLICT = 409;

const StoredValue = z.object({ value: z.string(), version: z.int().min(0) });
const NOTHING: Stored = { value: "", version: 0 };

type Reply = { readonly status: number; readonly text: string; };

/** `counted` hears of each call and its bytes. */
export class HttpStore extends Store {
    readonly #pool: Pool;

    constructor(address: Address, localIp: string, private readonly counted: (bytes: number) => void) {
        super();
        this.#pool = new Pool(`http://${address}`, {
            connections: 4,
            localAddress: localIp,
            connect: { timeout: 500 },
        });
    }

    async read(): Promise<Stored> {
        const reply = await this.#call("GET", KEY_PATH);
        if (reply.status === NOT_FOUND) {
            return NOTHING;
        }
        return this.#parse(reply, StoredValue);
    }

    async write(value: string, version: number): Promise<boolean> {
        const reply = await this.#call("PUT", `${KEY_PATH}?version=${version}`, value);
        if (reply.status === CONFLICT) {
            return false;
        }
        this.#expect(reply);
        return true;
    }

    async watch(version: number, signal: AbortSignal): Promise<Stored | undefined> {
        const path = `${KEY_PATH}?after=${version}&waitMs=${WATCH_MS}`;
        const bound = AbortSignal.any([signal, AbortSignal.timeout(WATCH_MS + CALL_TIMEOUT_MS)]);
        const reply = await this.#call("GET", path, undefined, bound);
        return reply.status === NO_CONTENT ? undefined : this.#parse(reply, StoredValue);
    }

    async hosts(): Promise<StoredHost[]> {
        return this.#parse(await this.#call("GET", HOSTS_PATH), z.array(StoredHost));
    }

    close(): Promise<void> {
        return this.#pool.destroy();
    }

    #parse<Schema extends z.ZodType>(reply: Reply, schema: Schema): z.infer<Schema> {
        this.#expect(reply);
        const result = schema.safeParse(JSON.parse(reply.text));
        if (!result.success) {
            throw new StoreError(true, "the store's answer can't be read");
        }
        return result.data;
    }

    /** Only a refusal for rate (429) or outage (503) proves that the call was not taken in. */
    #expect(reply: Reply): void {
        if (reply.status !== OK) {
            throw new StoreError(reply.status !== 429 && reply.status !== 503, `the store answered ${reply.status}`);
        }
    }

    async #call(
        method: "GET" | "PUT",
        path: string,
        body?: string,
        signal: AbortSignal = AbortSignal.timeout(CALL_TIMEOUT_MS),
    ): Promise<Reply> {
        try {
            const { statusCode, body: got } = await this.#pool.request({ method, path, body, signal });
            const text = await got.text();
            this.counted(text.length + (body?.length ?? 0));
            return { status: statusCode, text };
        }
        catch (err) {
            throw new StoreError(!isConnectError(err), "the store did not answer", { cause: err });
        }
    }
}
