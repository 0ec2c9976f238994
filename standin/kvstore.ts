/** A stand-in for the platform's store, in the names of deploy/wire.toml: revisions, conditions, leases, watches. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { KvControl } from "./kvcontrol.js";
import { KvData } from "./kvdata.js";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";

const LOOK_EVERY_MS = 5;

type Put = { readonly key: string; readonly value: string; readonly lease?: number; };
type Transaction = {
    readonly expect?: readonly { readonly key: string; readonly storeRevision: number; }[];
    readonly put?: readonly Put[];
    readonly remove?: readonly string[];
};

/** `POST /control` strikes it, `GET /counts` tells how often it was called. */
export class KvStandin {
    readonly server: Server = createServer((req, res) => void this.#handle(req, res));
    readonly #data = new KvData();
    readonly #counts: Record<string, number> = {};
    #control: KvControl = {
        refuse: 0,
        silent: false,
        from: "",
        loseAnswers: 0,
        delayMs: 0,
        forget: false,
        revoke: false,
    };

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(req.url ?? "/", "http://store");
        if (url.pathname === "/control") {
            return await this.#takeControl(req, res);
        }
        if (url.pathname === "/counts") {
            return sendJson(res, 200, this.#counts);
        }
        const call = url.pathname.split("/")[2] ?? "";
        this.#counts[call] = (this.#counts[call] ?? 0) + 1;
        await wait(this.#control.delayMs);
        if (this.#strikes(req, res)) {
            return;
        }
        await this.#serve(call, url, req, res);
    }

    async #takeControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.#control = { ...this.#control, ...await readJson<Partial<KvControl>>(req) };
        if (this.#control.forget) {
            this.#data.forget();
        }
        if (this.#control.revoke) {
            this.#data.revokeAll();
        }
        this.#control.forget = false;
        this.#control.revoke = false;
        sendJson(res, 200, this.#control);
    }

    /** True when the call gets nothing more. */
    #strikes(req: IncomingMessage, res: ServerResponse): boolean {
        const { refuse, silent, from } = this.#control;
        if (from !== "" && req.socket.remoteAddress !== from) {
            return false;
        }
        if (refuse !== 0) {
            sendJson(res, refuse, {});
        }
        return silent || refuse !== 0;
    }

    async #serve(call: string, url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const last = url.pathname.split("/")[3] ?? "";
        switch (call) {
            case "kv-key":
                return this.#key(url, res);
            case "kv-range":
                return sendJson(res, 200, {
                    items: this.#data.range(url.searchParams.get("pathPrefix")!),
                    more: false,
                    at: this.#data.revision,
                });
            case "kv-watch":
                return await this.#watch(url, req, res);
            case "kv-txn":
                return this.#write(await readJson<Transaction>(req), res);
            case "kv-lease":
                return sendJson(res, 200, this.#data.grant((await readJson<{ ttl_ms: number; }>(req)).ttl_ms));
            case "kv-keep":
                return sendJson(res, this.#data.keep(Number(last)) ? 200 : 404, {});
            case "kv-lease-end":
                return sendJson(res, this.#data.end(Number(last)) ? 200 : 404, {});
            default:
                return sendJson(res, 404, {});
        }
    }

    #key(url: URL, res: ServerResponse): void {
        const item = this.#data.find(url.searchParams.get("key")!);
        sendJson(res, item === undefined ? 404 : 200, { ...item, at: this.#data.revision });
    }

    async #watch(url: URL, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const after = Number(url.searchParams.get("after"));
        const until = performance.now() + Number(url.searchParams.get("waitMs"));
        while (!res.destroyed) {
            if (this.#data.hasForgotten(after)) {
                return sendJson(res, 410, {});
            }
            const events = this.#data.since(url.searchParams.get("pathPrefix")!, after);
            if (events.length > 0 || performance.now() >= until) {
                return this.#strikes(req, res) ? undefined : sendJson(res, 200, { events, at: this.#data.revision });
            }
            await wait(LOOK_EVERY_MS);
        }
    }

    #write({ expect = [], put = [], remove = [] }: Transaction, res: ServerResponse): void {
        if (put.some(({ lease }) => lease !== undefined && !this.#data.isGranted(lease))) {
            return sendJson(res, 404, {});
        }
        const met = expect.every(({ key, storeRevision }) =>
            (this.#data.find(key)?.storeRevision ?? 0) === storeRevision
        );
        if (!met) {
            return sendJson(res, 412, { items: expect.map(({ key }) => this.#data.find(key)).filter(Boolean) });
        }
        put.forEach(({ key, value, lease }) => this.#data.put(key, value, lease ?? 0));
        remove.forEach(key => this.#data.remove(key));
        if (this.#control.loseAnswers > 0) {
            this.#control.loseAnswers -= 1;
            return;
        }
        sendJson(res, 200, { storeRevision: this.#data.revision });
    }
}
