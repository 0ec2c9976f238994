/** Serves the store API of docs/DESIGN.md: `/v1/kv/KEY`, with a version to compare or to wait for, and `/v1/hosts`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readText } from "./readtext.js";
import { sendJson } from "./sendjson.js";
import { StoreApi } from "./storeapi.js";

const MAX_VALUE_BYTES = 1024 * 1024;
/** Interval at which a watch checks whether a test has stopped the store. */
const WATCH_POLL_MS = 100;

/** Serves the documented API. The version of a key is the store revision of its last write. */
export class DocumentedStoreApi extends StoreApi {
    async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const key = url.pathname.slice("/v1/kv/".length);
        if (url.pathname === "/v1/hosts") {
            this.deps.count("reads");
            return sendJson(res, 200, this.deps.hosts());
        }
        if (req.method === "PUT") {
            return await this.#put(req, res, key, url.searchParams);
        }
        if (url.searchParams.has("after")) {
            return await this.#watch(res, key, url.searchParams);
        }
        this.deps.count("reads");
        this.#sendItem(res, key);
    }

    #sendItem(res: ServerResponse, key: string): void {
        const item = this.deps.data.find(key);
        sendJson(
            res,
            item === undefined ? 404 : 200,
            item && { value: item.value, version: item.storeRevision },
        );
    }

    async #put(req: IncomingMessage, res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        const { data, count, dropsResponse } = this.deps;
        const value = await readText(req);
        count("writes");
        const version = data.find(key)?.storeRevision ?? 0;
        if (value.length > MAX_VALUE_BYTES) {
            return sendJson(res, 413);
        }
        if (Number(params.get("version")) !== version) {
            return sendJson(res, 409, { version });
        }
        data.put(key, value);
        if (dropsResponse()) {
            res.destroy();
            return;
        }
        sendJson(res, 200, { version: data.revision });
    }

    async #watch(res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        const { data, count, isDown } = this.deps;
        count("watches");
        const after = Number(params.get("after"));
        const deadline = performance.now() + Number(params.get("waitMs") ?? 0);
        while (!res.destroyed && !isDown()) {
            if ((data.find(key)?.storeRevision ?? 0) > after) {
                return this.#sendItem(res, key);
            }
            const remainingMs = deadline - performance.now();
            if (remainingMs <= 0) {
                return sendJson(res, 204);
            }
            await data.nextChange(Math.min(WATCH_POLL_MS, remainingMs));
        }
        res.destroy();
    }
}
