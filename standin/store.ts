/** A stand-in for the platform's key-value service and its lagging list of hosts. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { DocumentCalls } from "./documentedstoreapi.js";
import type { HostLine } from "./hostentry.js";
import { PlatformCalls } from "./platformstoreapi.js";
import { sendJson } from "./sendjson.js";
import { StandinServer } from "./standinserver.js";
import type { StoreControl } from "./storecontrol.js";
import { StoreData } from "./storedata.js";
import type { StoreParts } from "./storedependencies.js";

const HOSTS_LAG_MS = 500;
const MUTE_AFTER_MS = 20;
const RATE_PER_SECOND = 2000;

/** Called in two forms, over one set of data; `GET /counts` tells how often, by kind of call. */
export class StoreStandin extends StandinServer<StoreControl> {
    readonly #data = new StoreData();
    readonly #counts: Record<string, number> = { reads: 0, writes: 0, watches: 0, refused: 0 };
    readonly #documentCalls: DocumentCalls;
    readonly #platformCalls: PlatformCalls;
    readonly #open = new Set<Socket>();
    readonly #mute = new WeakSet<Socket>();
    #hosts: readonly HostLine[] = [];
    #second = 0;
    #inSecond = 0;

    constructor() {
        super({
            down: false,
            refuse: 0,
            silent: false,
            muteOpen: false,
            from: [],
            loseAnswers: 0,
            delayMs: 0,
            ratePerSecond: RATE_PER_SECOND,
            forget: false,
            revoke: false,
            makeCopy: false,
            comeBack: false,
            tellsEra: true,
            hosts: [],
        });
        this.server.on("connection", (socket: Socket) => {
            this.#open.add(socket);
            socket.on("close", () => this.#open.delete(socket));
        });
        const parts: StoreParts = {
            data: this.#data,
            hosts: () => this.#hosts,
            isDown: () => this.control.down,
            count: name => this.#count(name),
            strikes: (req, res) => this.#strikes(req, res),
            losesAnswer: () => this.#losesAnswer(),
            era: () => this.control.tellsEra ? this.#data.era : undefined,
        };
        this.#documentCalls = new DocumentCalls(parts);
        this.#platformCalls = new PlatformCalls(parts);
    }

    protected override async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        if (this.#mute.has(req.socket)) {
            return;
        }
        if (url.pathname === "/counts") {
            return sendJson(res, 200, this.#counts);
        }
        await wait(this.control.delayMs);
        if (this.control.down) {
            res.destroy();
            return;
        }
        if (!this.#withinRate()) {
            this.#count("refused");
            return sendJson(res, 429);
        }
        if (this.#strikes(req, res)) {
            return;
        }
        const calls = url.pathname.startsWith("/v1/") ? this.#documentCalls : this.#platformCalls;
        await calls.serve(req, res, url);
    }

    protected override async controlled({ hosts }: Partial<StoreControl>): Promise<object> {
        const { forget, revoke, muteOpen, makeCopy, comeBack } = this.control;
        if (muteOpen) {
            this.#muteOpen(comeBack);
        }
        if (forget) {
            this.#data.forget();
        }
        if (revoke) {
            this.#data.revokeAll();
        }
        if (makeCopy) {
            this.#data.makeCopy();
        }
        if (comeBack && !muteOpen) {
            this.#data.comeBack();
        }
        this.control = {
            ...this.control,
            forget: false,
            revoke: false,
            muteOpen: false,
            makeCopy: false,
            comeBack: false,
        };
        if (hosts !== undefined) {
            setTimeout(() => this.#hosts = hosts, HOSTS_LAG_MS);
        }
        return this.control;
    }

    /** The answer to the call that asks for it still goes out; none of them is told that the store has come back from a copy. */
    #muteOpen(comeBack: boolean): void {
        const open = [...this.#open];
        setTimeout(() => {
            for (const socket of open) {
                this.#mute.add(socket);
                socket.write = () => true;
            }
            if (comeBack) {
                this.#data.comeBack();
            }
        }, MUTE_AFTER_MS);
    }

    #count(name: string): void {
        this.#counts[name] = (this.#counts[name] ?? 0) + 1;
    }

    #withinRate(): boolean {
        const second = Math.floor(Date.now() / 1000);
        this.#inSecond = second === this.#second ? this.#inSecond + 1 : 1;
        this.#second = second;
        return this.#inSecond <= this.control.ratePerSecond;
    }

    #strikes(req: IncomingMessage, res: ServerResponse): boolean {
        const { refuse, silent, from } = this.control;
        if (from.length > 0 && !from.includes(req.socket.remoteAddress ?? "")) {
            return false;
        }
        if (refuse !== 0) {
            sendJson(res, refuse, {});
        }
        return silent || refuse !== 0;
    }

    #losesAnswer(): boolean {
        if (this.control.loseAnswers === 0) {
            return false;
        }
        this.control.loseAnswers -= 1;
        return true;
    }
}
