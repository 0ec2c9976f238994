/** The calls of the platform's store in the names of deploy/wire.toml: revisions, conditions, leases, watches. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";
import { StoreCalls } from "./storeapi.js";

/** How often a watch looks whether its caller has gone. */
const LOOK_EVERY_MS = 100;

type Put = { readonly key: string; readonly value: string; readonly lease?: number; };
type Transaction = {
    readonly expect?: readonly { readonly key: string; readonly storeRevision: number; }[];
    readonly put?: readonly Put[];
    readonly remove?: readonly string[];
};

/** `/api/CALL`, some with a lease's number behind it. */
export class PlatformCalls extends StoreCalls {
    async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const { data, count } = this.parts;
        const [, , call = "", last = ""] = url.pathname.split("/");
        count(call);
        switch (call) {
            case "kv-key":
                return this.#key(url, res);
            case "kv-range":
                return this.#answer(res, 200, {
                    items: data.range(url.searchParams.get("pathPrefix")!),
                    more: false,
                    at: data.revision,
                });
            case "kv-watch":
                return await this.#watch(url, req, res);
            case "kv-txn":
                return this.#write(await readJson<Transaction>(req), res);
            case "kv-lease":
                return this.#answer(res, 200, data.grant((await readJson<{ ttl_ms: number; }>(req)).ttl_ms));
            case "kv-keep":
                return this.#answer(res, data.keep(Number(last)) ? 200 : 404, {});
            case "kv-lease-end":
                return this.#answer(res, data.end(Number(last)) ? 200 : 404, {});
            default:
                return this.#answer(res, 404, {});
        }
    }

    /** The era is that of the answer, not of the call. */
    #answer(res: ServerResponse, status: number, body: object): void {
        const era = this.parts.era();
        if (era !== undefined) {
            res.setHeader("store-era", era);
        }
        sendJson(res, status, body);
    }

    #key(url: URL, res: ServerResponse): void {
        const { data } = this.parts;
        const item = data.find(url.searchParams.get("key")!);
        this.#answer(res, item === undefined ? 404 : 200, { ...item, at: data.revision });
    }

    async #watch(url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { data, strikes } = this.parts;
        const after = Number(url.searchParams.get("after"));
        const until = performance.now() + Number(url.searchParams.get("waitMs"));
        while (!res.destroyed) {
            if (data.hasForgotten(after)) {
                return this.#answer(res, 410, {});
            }
            const events = data.since(url.searchParams.get("pathPrefix")!, after);
            const leftMs = until - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return strikes(req, res) ? undefined : this.#answer(res, 200, { events, at: data.revision });
            }
            await data.nextChange(Math.min(LOOK_EVERY_MS, leftMs));
        }
    }

    #write({ expect = [], put = [], remove = [] }: Transaction, res: ServerResponse): void {
        const { data, losesAnswer } = this.parts;
        if (put.some(({ lease }) => lease !== undefined && !data.isGranted(lease))) {
            return this.#answer(res, 404, {});
        }
        const met = expect.every(({ key, storeRevision }) => (data.find(key)?.storeRevision ?? 0) === storeRevision);
        if (!met) {
            return this.#answer(res, 412, { items: expect.map(({ key }) => data.find(key)).filter(Boolean) });
        }
        put.forEach(({ key, value, lease }) => data.put(key, value, lease));
        remove.forEach(key => data.remove(key));
        if (!losesAnswer()) {
            this.#answer(res, 200, { storeRevision: data.revision });
        }
    }
}
