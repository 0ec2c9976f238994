/** Serves the store API with the names of deploy/wire.toml: revisions, conditional writes, leases and watches. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";
import { StoreApi } from "./storeapi.js";

/** Interval at which a watch checks whether its caller has disconnected. */
const WATCH_POLL_MS = 100;

type Put = { readonly key: string; readonly value: string; readonly lease?: number; };
type Transaction = {
    readonly expect?: readonly { readonly key: string; readonly storeRevision: number; }[];
    readonly put?: readonly Put[];
    readonly remove?: readonly string[];
};

/** Serves `/api/CALL`, and `/api/CALL/LEASE` for the calls that take a lease id. */
export class PlatformStoreApi extends StoreApi {
    async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const { data, count } = this.deps;
        const [, , call = "", leaseId = ""] = url.pathname.split("/");
        count(call);
        switch (call) {
            case "kv-key":
                return this.#readKey(url, res);
            case "kv-range":
                return this.#respond(res, 200, {
                    items: data.range(url.searchParams.get("pathPrefix")!),
                    more: false,
                    at: data.revision,
                });
            case "kv-watch":
                return await this.#watch(url, req, res);
            case "kv-txn":
                return this.#commit(await readJson<Transaction>(req), res);
            case "kv-lease":
                return this.#respond(res, 200, data.grantLease((await readJson<{ ttl_ms: number; }>(req)).ttl_ms));
            case "kv-keep":
                return this.#respond(res, data.renewLease(Number(leaseId)) ? 200 : 404, {});
            case "kv-lease-end":
                return this.#respond(res, data.endLease(Number(leaseId)) ? 200 : 404, {});
            default:
                return this.#respond(res, 404, {});
        }
    }

    /** Sends a response with the era at the time of the response, not of the call. */
    #respond(res: ServerResponse, status: number, body: object): void {
        const era = this.deps.era();
        if (era !== undefined) {
            res.setHeader("store-era", era);
        }
        sendJson(res, status, body);
    }

    #readKey(url: URL, res: ServerResponse): void {
        const { data } = this.deps;
        const item = data.find(url.searchParams.get("key")!);
        this.#respond(res, item === undefined ? 404 : 200, { ...item, at: data.revision });
    }

    async #watch(url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { data, intercepts } = this.deps;
        const after = Number(url.searchParams.get("after"));
        const deadline = performance.now() + Number(url.searchParams.get("waitMs"));
        while (!res.destroyed) {
            if (data.isUnavailable(after)) {
                return this.#respond(res, 410, {});
            }
            const events = data.eventsSince(url.searchParams.get("pathPrefix")!, after);
            const remainingMs = deadline - performance.now();
            if (events.length > 0 || remainingMs <= 0) {
                return intercepts(req, res) ? undefined : this.#respond(res, 200, { events, at: data.revision });
            }
            await data.nextChange(Math.min(WATCH_POLL_MS, remainingMs));
        }
    }

    #commit({ expect = [], put = [], remove = [] }: Transaction, res: ServerResponse): void {
        const { data, dropsResponse } = this.deps;
        if (put.some(({ lease }) => lease !== undefined && !data.isLeaseValid(lease))) {
            return this.#respond(res, 404, {});
        }
        const isExpectationMet = expect.every(({ key, storeRevision }) =>
            (data.find(key)?.storeRevision ?? 0) === storeRevision
        );
        if (!isExpectationMet) {
            return this.#respond(res, 412, { items: expect.map(({ key }) => data.find(key)).filter(Boolean) });
        }
        put.forEach(({ key, value, lease }) => data.put(key, value, lease));
        remove.forEach(key => data.remove(key));
        if (!dropsResponse()) {
            this.#respond(res, 200, { storeRevision: data.revision });
        }
    }
}
