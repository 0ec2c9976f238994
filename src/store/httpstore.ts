/** Keeps the configuration in the key-value service over HTTP; docs/DESIGN.md describes the calls. */
import { z } from "zod";
import type { Document } from "../config/document.js";
import { DocumentDecoder } from "../config/documentdecoder.js";
import { emptyDocument } from "../config/emptydocument.js";
import { parseJson } from "../config/parsejson.js";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import type { StepPause } from "../time/steppause.js";
import { Store } from "./store.js";
import { StoreClient } from "./storeclient.js";
import type { StoredDocument } from "./storeddocument.js";
import { StoredHost } from "./storedhost.js";
import type { StoreEvents } from "./storeevents.js";
import type { StoreUpdate } from "./storeupdate.js";
import type { VersionedValue } from "./versionedvalue.js";

const KEY_PATH = "/v1/kv/winglock";
const HOSTS_PATH = "/v1/hosts";
/** A key that does not exist, so that the response is small. */
const CHECK_PATH = "/v1/kv/winglock-check";
/** Long enough for a write to a store that is slow but not down. */
const CALL_TIMEOUT_MS = 1500;
/** Maximum number of connections for calls and for watches each: one watch is pending while other calls are made. */
const CONNECTION_LIMIT = 4;
/** Longer than the interval between reads of the list of hosts, which serve as checks. */
const CHECK_INTERVAL_MS = 1100;
/** Time for which the store holds a watch open: a third of that after which a configuration counts as unconfirmed. */
const WATCH_WAIT_MS = 5000;

const StoredValue = z.object({ value: z.string(), version: z.int().min(0) });
const EMPTY_VALUE: VersionedValue = { value: "", version: 0 };

/** The store as an HTTP service. `events` is notified of its calls. */
export class HttpStore extends Store {
    readonly #client: StoreClient;
    readonly #decoder = new DocumentDecoder();

    readonly #watchWaitMs: number;

    /** `maxWatchMs` limits how long the store holds a watch open, and so the age of its last response. */
    constructor(address: Address, localIp: string, events: StoreEvents, maxWatchMs = WATCH_WAIT_MS) {
        super();
        this.#watchWaitMs = Math.min(maxWatchMs, WATCH_WAIT_MS);
        const bounds = { connections: CONNECTION_LIMIT, timeoutMs: CALL_TIMEOUT_MS };
        const check = { checkPath: CHECK_PATH, checkIntervalMs: CHECK_INTERVAL_MS };
        this.#client = new StoreClient({ address, localIp, ...check, ...bounds, ...events });
    }

    async read(): Promise<VersionedValue> {
        return await this.#client.call(StoredValue, {
            kind: "find",
            method: "GET",
            path: KEY_PATH,
            emptyStatuses: [httpStatus.notFound],
        })
            ?? EMPTY_VALUE;
    }

    async readCached(): ReturnType<Store["readCached"]> {
        return { document: this.#stored(await this.read()), isLatest: true };
    }

    async write(value: string, version: number): Promise<boolean> {
        const path = `${KEY_PATH}?version=${version}`;
        return await this.#client.tryCall({
            kind: "write",
            method: "PUT",
            path,
            body: value,
            emptyStatuses: [httpStatus.conflict],
        });
    }

    async watch(version: number, signal: AbortSignal): Promise<StoreUpdate> {
        const path = `${KEY_PATH}?after=${version}&waitMs=${this.#watchWaitMs}`;
        const document = await this.#client.call(StoredValue, {
            kind: "watch-configuration",
            method: "GET",
            path,
            waitMs: this.#watchWaitMs,
            signal,
            emptyStatuses: [httpStatus.noContent],
        });
        return document === undefined ? {} : { document: this.#stored(document) };
    }

    #stored({ value, version }: VersionedValue): StoredDocument {
        return { version, decode: pause => this.#decode(value, pause) };
    }

    async #decode(value: string, pause: StepPause): Promise<Document> {
        return value === "" ? emptyDocument : await this.#decoder.decode(parseJson(value), pause);
    }

    async hosts(): Promise<StoredHost[]> {
        return (await this.#client.call(z.array(StoredHost), { kind: "hosts", method: "GET", path: HOSTS_PATH }))!;
    }

    renewConnections(): void {
        this.#client.renewConnections();
    }

    close(): Promise<void> {
        return this.#client.close();
    }
}
