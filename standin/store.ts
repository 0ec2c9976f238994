/** A stand-in for the platform's key-value service and its lagging list of hosts. */
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import { readJson } from "./readjson.js";
import { sendJson } from "./sendjson.js";
import type { StoreControl } from "./storecontrol.js";

const MAX_VALUE_BYTES = 1024 * 1024;
const HOSTS_LAG_MS = 500;

type Entry = { value: string; version: number; lease: string | undefined; };
type HostLine = { readonly name: string; readonly state: "live" | "leaving"; };
type Counts = { reads: number; writes: number; watches: number; refused: number; };

/** Compare-and-swap, leases and watches over HTTP. */
export class StoreStandin {
    readonly server: Server = createServer((req, res) => void this.#handle(req, res));
    readonly #entries = new Map<string, Entry>();
    readonly #leases = new Map<string, number>();
    readonly #waiting = new Set<() => void>();
    readonly #counts: Counts = { reads: 0, writes: 0, watches: 0, refused: 0 };
    #control: StoreControl = { down: false, delayMs: 0, loseAnswers: 0, ratePerSecond: 2000 };
    #hosts: HostLine[] = [];
    #second = 0;
    #inSecond = 0;

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = new URL(req.url ?? "/", "http://store");
        if (url.pathname === "/control") {
            return await this.#takeControl(req, res);
        }
        if (url.pathname === "/counts") {
            return sendJson(res, 200, this.#counts);
        }
        await wait(this.#control.delayMs);
        if (this.#control.down) {
            res.destroy();
            return;
        }
        if (!this.#withinRate()) {
            this.#counts.refused += 1;
            return sendJson(res, 429);
        }
        await this.#serve(req, res, url);
    }

    async #takeControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { hosts, ...control } = await readJson<Partial<StoreControl> & { hosts?: HostLine[]; }>(req);
        this.#control = { ...this.#control, ...control };
        if (hosts !== undefined) {
            setTimeout(() => this.#hosts = hosts, HOSTS_LAG_MS);
        }
        sendJson(res, 200, this.#control);
    }

    #withinRate(): boolean {
        const second = Math.floor(Date.now() / 1000);
        this.#inSecond = second === this.#second ? this.#inSecond + 1 : 1;
        this.#second = second;
        return this.#inSecond <= this.#control.ratePerSecond;
    }

    async #serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        if (url.pathname === "/v1/hosts") {
            this.#counts.reads += 1;
            return sendJson(res, 200, this.#hosts);
        }
        if (url.pathname.startsWith("/v1/leases")) {
            return await this.#lease(req, res, url.pathname.split("/")[3]);
        }
        const key = url.pathname.slice("/v1/kv/".length);
        if (req.method === "PUT") {
            return await this.#put(req, res, key, url.searchParams);
        }
        if (url.searchParams.has("after")) {
            return await this.#watch(res, key, url.searchParams);
        }
        this.#counts.reads += 1;
        const entry = this.#read(key);
        sendJson(res, entry === undefined ? 404 : 200, entry);
    }

    #read(key: string): Entry | undefined {
        const entry = this.#entries.get(key);
        const expiry = entry?.lease === undefined ? Infinity : this.#leases.get(entry.lease) ?? 0;
        if (expiry < Date.now()) {
            this.#entries.delete(key);
            return undefined;
        }
        return entry;
    }

    async #put(req: IncomingMessage, res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of req) {
            chunks.push(chunk as Buffer);
        }
        const value = Buffer.concat(chunks).toString();
        this.#counts.writes += 1;
        const version = this.#read(key)?.version ?? 0;
        if (value.length > MAX_VALUE_BYTES) {
            return sendJson(res, 413);
        }
        if (Number(params.get("version")) !== version) {
            return sendJson(res, 409, { version });
        }
        this.#entries.set(key, { value, version: version + 1, lease: params.get("lease") ?? undefined });
        this.#waiting.forEach(wake => wake());
        if (this.#control.loseAnswers > 0) {
            this.#control.loseAnswers -= 1;
            res.destroy();
            return;
        }
        sendJson(res, 200, { version: version + 1 });
    }

    async #watch(res: ServerResponse, key: string, params: URLSearchParams): Promise<void> {
        this.#counts.watches += 1;
        const after = Number(params.get("after"));
        const until = Date.now() + Number(params.get("waitMs") ?? 0);
        while (!res.destroyed && !this.#control.down) {
            const entry = this.#read(key);
            if (entry !== undefined && entry.version > after) {
                return sendJson(res, 200, entry);
            }
            if (Date.now() >= until) {
                return sendJson(res, 204);
            }
            await this.#nextWrite(Math.min(100, until - Date.now()));
        }
        res.destroy();
    }

    #nextWrite(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.#waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            this.#waiting.add(wake);
        });
    }

    async #lease(req: IncomingMessage, res: ServerResponse, id: string | undefined): Promise<void> {
        const { ttlMs = 1000 } = await readJson<{ ttlMs?: number; }>(req);
        if (id !== undefined && (this.#leases.get(id) ?? 0) < Date.now()) {
            return sendJson(res, 404);
        }
        const lease = id ?? randomUUID();
        this.#leases.set(lease, Date.now() + ttlMs);
        sendJson(res, 200, { id: lease, ttlMs });
    }
}
