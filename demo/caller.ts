/** HTTP/1.1 client that sends the requests of the load and classifies their results. */
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import type { RequestResult } from "./requestresult.js";

const TIMEOUT_MS = 20_000;

/** Request to send. `kind` is the name of its `RequestSpec`; `once` means that it may run only once. */
type CallerRequest = {
    readonly id: string;
    readonly kind: string;
    readonly method: string;
    readonly path: string;
    readonly once: boolean;
};

/** `complete` is false if the connection closed before the end of the response. */
type ReceivedResponse = { readonly res: IncomingMessage; readonly body: string; readonly complete: boolean; };

const isConnectionRefused = (err: unknown): boolean => (err as { code?: string; }).code === "ECONNREFUSED";

/**
 * Sends each request to a random daemon. If the daemon refuses the connection, nothing was sent, so the request goes to
 * the next daemon.
 */
export class Caller {
    readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity, timeout: TIMEOUT_MS });

    constructor(private readonly random: () => number) {}

    /** Resolves with the result of the request, and never rejects. `dueAt` is the due time in milliseconds. */
    async send(req: CallerRequest, ingresses: readonly string[], dueAt: number): Promise<RequestResult> {
        const start = Math.floor(this.random() * ingresses.length);
        for (let step = 0; step < ingresses.length; step++) {
            const ingress = ingresses[(start + step) % ingresses.length]!;
            try {
                return this.#toResult(req, await this.#request(req, ingress), dueAt);
            }
            catch (err) {
                if (!isConnectionRefused(err)) {
                    return this.#makeResult(req, "cut", 0, false, dueAt);
                }
            }
        }
        return this.#makeResult(req, "refused", 0, false, dueAt);
    }

    close(): void {
        this.#agent.destroy();
    }

    #toResult(req: CallerRequest, received: ReceivedResponse, dueAt: number): RequestResult {
        const { res, body, complete } = received;
        const status = res.statusCode ?? 0;
        const outcome = res.headers["winglock-outcome"];
        if (!complete) {
            return this.#makeResult(req, "cut", status, false, dueAt);
        }
        if (outcome !== undefined) {
            return this.#makeResult(req, outcome as "not-run", status, false, dueAt);
        }
        const wrong = status === 200 && !this.#isOwnResponse(req.id, body);
        const foreign = wrong && !body.startsWith(`{"id":"${req.id}"`);
        return { ...this.#makeResult(req, "answered", status, wrong, dueAt), foreign };
    }

    #isOwnResponse(id: string, body: string): boolean {
        try {
            const { id: bodyId, pad } = JSON.parse(body) as { id: string; pad: string; };
            return bodyId === id && pad.length === 200;
        }
        catch {
            return false;
        }
    }

    #makeResult(
        req: CallerRequest,
        outcome: RequestResult["outcome"],
        status: number,
        wrong: boolean,
        dueAt: number,
    ): RequestResult {
        const { id, kind, once } = req;
        return { id, kind, once, outcome, status, wrong, latencyMs: performance.now() - dueAt, at: dueAt };
    }

    #request(req: CallerRequest, ingress: string): Promise<ReceivedResponse> {
        return new Promise((resolve, reject) => {
            const clientRequest = httpRequest(`http://${ingress}${req.path}`, {
                method: req.method,
                agent: this.#agent,
                headers: { "x-load-id": req.id, "content-type": "application/json" },
            }, res => {
                let body = "";
                res.setEncoding("utf8");
                res.on("data", chunk => body += chunk);
                res.on("close", () => resolve({ res, body, complete: res.complete }));
                res.on("error", () => {});
            });
            clientRequest.setTimeout(TIMEOUT_MS, () => clientRequest.destroy(new Error("request timed out")));
            clientRequest.on("error", reject);
            clientRequest.end(req.method === "POST" ? JSON.stringify({ id: req.id }) : undefined);
        });
    }
}
