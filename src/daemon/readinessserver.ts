/** Serves readiness checks: `GET /readyz` returns 200 if callers may be sent to this daemon, otherwise 503. */
import { createServer, type Server } from "node:http";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import { listen } from "../time/listen.js";

const READINESS_PATH = "/readyz";

/** Calls `isReady` for each check. */
export class ReadinessServer {
    readonly #server: Server;

    constructor(isReady: () => boolean) {
        this.#server = createServer((req, res) => {
            const status = req.url !== READINESS_PATH
                ? httpStatus.notFound
                : isReady()
                ? httpStatus.ok
                : httpStatus.serviceUnavailable;
            res.writeHead(status, { "content-length": "0" }).end();
        });
    }

    listen(address: Address): Promise<void> {
        return listen(this.#server, address);
    }

    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }
}
