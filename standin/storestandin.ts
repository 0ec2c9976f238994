/** Stands in for the platform's key-value service and its list of hosts, which lags behind changes. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { DocumentedStoreApi } from "./documentedstoreapi.js";
import type { HostEntry } from "./hostentry.js";
import { PlatformStoreApi } from "./platformstoreapi.js";
import { sendJson } from "./sendjson.js";
import { StandinServer } from "./standinserver.js";
import type { StoreControl } from "./storecontrol.js";
import { StoreData } from "./storedata.js";
import type { StoreDependencies } from "./storedependencies.js";

const HOSTS_LAG_MS = 500;
/** Leaves time to send the response to the control call that makes open connections unresponsive. */
const UNRESPONSIVE_DELAY_MS = 20;
const DEFAULT_RATE_PER_SECOND = 2000;

/** Serves two APIs over one set of data. `GET /counts` returns the number of calls of each kind. */
export class StoreStandin extends StandinServer<StoreControl> {
    readonly #data = new StoreData();
    readonly #counts: Record<string, number> = { reads: 0, writes: 0, watches: 0, refused: 0 };
    readonly #documentedApi: DocumentedStoreApi;
    readonly #platformApi: PlatformStoreApi;
    readonly #openSockets = new Set<Socket>();
    readonly #watchingSockets = new Set<Socket>();
    readonly #unresponsiveSockets = new WeakSet<Socket>();
    #hosts: readonly HostEntry[] = [];
    #currentSecond = 0;
    #callsInSecond = 0;

    constructor() {
        super({
            down: false,
            refuse: 0,
            silent: false,
            muteOpen: false,
            muteWatches: false,
            from: [],
            loseAnswers: 0,
            delayMs: 0,
            ratePerSecond: DEFAULT_RATE_PER_SECOND,
            forget: false,
            revoke: false,
            makeCopy: false,
            comeBack: false,
            tellsEra: true,
            hosts: [],
        });
        this.server.on("connection", (socket: Socket) => {
            this.#openSockets.add(socket);
            socket.on("close", () => this.#openSockets.delete(socket));
        });
        const deps: StoreDependencies = {
            data: this.#data,
            hosts: () => this.#hosts,
            isDown: () => this.control.down,
            count: name => this.#count(name),
            intercepts: (req, res) => this.#intercepts(req, res),
            dropsResponse: () => this.#dropsResponse(),
            era: () => this.control.tellsEra ? this.#data.era : undefined,
        };
        this.#documentedApi = new DocumentedStoreApi(deps);
        this.#platformApi = new PlatformStoreApi(deps);
    }

    protected override async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        if (this.#unresponsiveSockets.has(req.socket)) {
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
        if (!this.#isWithinRate()) {
            this.#count("refused");
            return sendJson(res, 429);
        }
        if (this.#intercepts(req, res)) {
            return;
        }
        const api = url.pathname.startsWith("/v1/") ? this.#documentedApi : this.#platformApi;
        if (url.searchParams.has("waitMs")) {
            this.#watchingSockets.add(req.socket);
        }
        try {
            await api.serve(req, res, url);
        }
        finally {
            this.#watchingSockets.delete(req.socket);
        }
    }

    protected override async applyControl({ hosts }: Partial<StoreControl>): Promise<object> {
        const { forget, revoke, muteOpen, muteWatches, makeCopy, comeBack } = this.control;
        if (muteOpen) {
            this.#makeOpenUnresponsive(comeBack);
        }
        if (muteWatches) {
            this.#watchingSockets.forEach(socket => this.#makeUnresponsive(socket));
        }
        if (forget) {
            this.#data.compact();
        }
        if (revoke) {
            this.#data.revokeAllLeases();
        }
        if (makeCopy) {
            this.#data.createBackup();
        }
        if (comeBack && !muteOpen) {
            this.#data.restoreBackup();
        }
        this.control = {
            ...this.control,
            forget: false,
            revoke: false,
            muteOpen: false,
            muteWatches: false,
            makeCopy: false,
            comeBack: false,
        };
        if (hosts !== undefined) {
            setTimeout(() => this.#hosts = hosts, HOSTS_LAG_MS);
        }
        return this.control;
    }

    /**
     * Makes the connections that are open now unresponsive, after a delay in which the response to the control call is
     * sent. The store is restored after that, so that no caller learns of the restore on one of these connections.
     */
    #makeOpenUnresponsive(isRestoring: boolean): void {
        const sockets = [...this.#openSockets];
        setTimeout(() => {
            sockets.forEach(socket => this.#makeUnresponsive(socket));
            if (isRestoring) {
                this.#data.restoreBackup();
            }
        }, UNRESPONSIVE_DELAY_MS);
    }

    #makeUnresponsive(socket: Socket): void {
        this.#unresponsiveSockets.add(socket);
        socket.write = () => true;
    }

    #count(name: string): void {
        this.#counts[name] = (this.#counts[name] ?? 0) + 1;
    }

    #isWithinRate(): boolean {
        const second = Math.floor(Date.now() / 1000);
        this.#callsInSecond = second === this.#currentSecond ? this.#callsInSecond + 1 : 1;
        this.#currentSecond = second;
        return this.#callsInSecond <= this.control.ratePerSecond;
    }

    #intercepts(req: IncomingMessage, res: ServerResponse): boolean {
        const { refuse, silent, from } = this.control;
        if (from.length > 0 && !from.includes(req.socket.remoteAddress ?? "")) {
            return false;
        }
        if (refuse !== 0) {
            sendJson(res, refuse, {});
        }
        return silent || refuse !== 0;
    }

    #dropsResponse(): boolean {
        if (this.control.loseAnswers === 0) {
            return false;
        }
        this.control.loseAnswers -= 1;
        return true;
    }
}
