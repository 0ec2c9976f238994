/** Serves operators' calls, metrics, liveness and readiness on the operators' address. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Metrics } from "../metrics/metrics.js";
import { listen } from "../time/listen.js";
import type { OperatorApi } from "./operatorapi.js";

type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Loads the modules that only operators' calls need when the first call arrives, so that the daemon starts quickly. */
export class OperatorServer {
    readonly #server: Server;
    #isMarkedUnready = false;

    #requestHandler: Promise<RequestHandler> | undefined;

    constructor(
        private readonly api: OperatorApi,
        private readonly metrics: Metrics,
        private readonly hasConfiguration: () => boolean,
    ) {
        this.#server = createServer((req, res) => this.#handle(req, res));
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /** Makes the daemon report that it is not ready, from now on. */
    setNotReady(): void {
        this.#isMarkedUnready = true;
    }

    destroy(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    get isReady(): boolean {
        return this.hasConfiguration() && !this.#isMarkedUnready;
    }

    #handle(req: IncomingMessage, res: ServerResponse): void {
        switch (req.url) {
            case "/metrics":
                return void this.#sendMetrics(res);
            case "/healthz":
                return void res.writeHead(200).end("alive\n");
            case "/readyz":
                return this.#sendReadiness(res);
            default:
                return void this.#handleOperatorRequest(req, res);
        }
    }

    async #handleOperatorRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.#requestHandler ??= import("./createoperatorhandler.js").then(({ createOperatorHandler }) =>
            createOperatorHandler(this.api)
        );
        (await this.#requestHandler)(req, res);
    }

    async #sendMetrics(res: ServerResponse): Promise<void> {
        res.setHeader("content-type", this.metrics.registry.contentType);
        res.end(await this.metrics.registry.metrics());
    }

    #sendReadiness(res: ServerResponse): void {
        const { isReady } = this;
        res.writeHead(isReady ? 200 : 503).end(isReady ? "ready\n" : "not ready\n");
    }
}
