/** The calls of docs/DESIGN.md: `/v1/kv/KEY` with a version to compare or to wait for, and `/v1/hosts`. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { readText } from "./readtext.js";
import { sendJson } from "./sendjson.js";
import { StoreCalls } from "./storeapi.js";

const MAX_VALUE_BYTES = 1024 * 1024;
/** How often a watch looks whether the store has been told to fail. */
const LOOK_EVERY_MS = 100;

/** A key's version is the store's revision when it was written. */
export class DocumentCalls extends StoreCalls {
    async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const key = url.pathname.slice("/v1/kv/".length);
        if (url.pathname === "/v1/hosts") {
            this.parts.count("reads");
            return sendJson(res, 200, this.parts.hosts());
        }
        if (req.method === "PUT") {
            return await this.#put(req, res, key, url.searchParams);
        }
        if (url.searchParams.has("after")) {
            return await this.#watch(res, key, url.searchParams);
        }
        this.parts.count("reads");
        this.#send(res, key);
    }

    #send(res: ServerResponse, key: string): void {
        const item = this.parts.data.find(key);
        sendJson(
            res,
            item === undefined ? 404 : 200,
            item && { value: item.value, version: item.storeRevision },
        );
    }

    async #put(req: IncomingMessage, res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        const { data, count, losesAnswer } = this.parts;
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
        if (losesAnswer()) {
            res.destroy();
            return;
        }
        sendJson(res, 200, { version: data.revision });
    }

    async #watch(res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        const { data, count, isDown } = this.parts;
        count("watches");
        const after = Number(params.get("after"));
        const until = performance.now() + Number(params.get("waitMs") ?? 0);
        while (!res.destroyed && !isDown()) {
            if ((data.find(key)?.storeRevision ?? 0) > after) {
                return this.#send(res, key);
            }
            const leftMs = until - performance.now();
            if (leftMs <= 0) {
                return sendJson(res, 204);
            }
            await data.nextChange(Math.min(LOOK_EVERY_MS, leftMs));
        }
        res.destroy();
    }
}
