/** The platform's key-value service over HTTP; docs/DESIGN.md describes the calls. */
import { z } from "zod";
import type { Address } from "../ids/address.js";
import { Store } from "./store.js";
import { StoreConnection } from "./storeconnection.js";
import type { Stored } from "./stored.js";
import { StoredHost } from "./storedhost.js";
import { StoreError } from "./storeerror.js";

const KEY_PATH = "/v1/kv/winglock";
const HOSTS_PATH = "/v1/hosts";
const CALL_TIMEOUT_MS = 1500;
const CONNECTIONS = 4;
const WATCH_MS = 5000;
const OK = 200;
const NO_CONTENT = 204;
const NOT_FOUND = 404;
const CONFLICT = 409;

const StoredValue = z.object({ value: z.string(), version: z.int().min(0) });
const NOTHING: Stored = { value: "", version: 0 };

type Reply = Awaited<ReturnType<StoreConnection["send"]>>;

/** `counted` hears of each call and its bytes. */
export class HttpStore extends Store {
    readonly #connection: StoreConnection;

    constructor(address: Address, localIp: string, counted: (bytes: number) => void) {
        super();
        this.#connection = new StoreConnection({ address, localIp, connections: CONNECTIONS, counted });
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
        return this.#connection.close();
    }

    #parse<Schema extends z.ZodType>(reply: Reply, schema: Schema): z.infer<Schema> {
        this.#expect(reply);
        const result = schema.safeParse(JSON.parse(reply.text));
        if (!result.success) {
            throw new StoreError(true, "the store's answer can't be read");
        }
        return result.data;
    }

    #expect(reply: Reply): void {
        if (reply.status !== OK) {
            throw this.#connection.refused(reply.status);
        }
    }

    #call(
        method: "GET" | "PUT",
        path: string,
        body?: string,
        signal: AbortSignal = AbortSignal.timeout(CALL_TIMEOUT_MS),
    ): Promise<Reply> {
        return this.#connection.send({ method, path, body, signal });
    }
}
