/** The listener for operators: calls, metrics, liveness and readiness. */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Metrics } from "../metrics/metrics.js";
import { listen } from "../time/listen.js";
import type { OperatorFace } from "./operatorface.js";
import { operatorRoutes } from "./operatorroutes.js";

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** A front end over the face. */
export class OperatorServer {
    readonly #server: Server;
    #unready = false;

    constructor(face: OperatorFace, private readonly metrics: Metrics, private readonly configured: () => boolean) {
        const calls = connectNodeAdapter({ routes: operatorRoutes(face), readMaxBytes: MAX_MESSAGE_BYTES });
        this.#server = createServer((req, res) => this.#handle(req, res, calls));
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /** From now on the daemon is not ready. */
    unready(): void {
        this.#unready = true;
    }

    destroy(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #handle(
        req: IncomingMessage,
        res: ServerResponse,
        calls: (req: IncomingMessage, res: ServerResponse) => void,
    ): void {
        switch (req.url) {
            case "/metrics":
                return void this.#metrics(res);
            case "/healthz":
                return void res.writeHead(200).end("alive\n");
            case "/readyz":
                return this.#ready(res);
            default:
                return calls(req, res);
        }
    }

    async #metrics(res: ServerResponse): Promise<void> {
        res.setHeader("content-type", this.metrics.registry.contentType);
        res.end(await this.metrics.registry.metrics());
    }

    #ready(res: ServerResponse): void {
        const ready = this.configured() && !this.#unready;
        res.writeHead(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
    }
}
