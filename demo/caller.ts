/** A plain HTTP/1.1 client, as callers have. */
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import type { Told } from "./told.js";

const TIMEOUT_MS = 20_000;

/** One request to send. */
type CallerRequest = {
    readonly id: string;
    readonly kind: string;
    readonly method: string;
    readonly path: string;
    readonly once: boolean;
};

type Got = { readonly res: IncomingMessage; readonly body: string; readonly complete: boolean; };

const isRefused = (err: unknown): boolean => (err as { code?: string; }).code === "ECONNREFUSED";

/** Sends to any daemon; when one refuses the connection nothing was sent, and the next is tried. */
export class Caller {
    readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity, timeout: TIMEOUT_MS });

    constructor(private readonly random: () => number) {}

    /** Resolves with what the caller was told; `dueAt` is when it was meant to be sent. */
    async send(req: CallerRequest, ingresses: readonly string[], dueAt: number): Promise<Told> {
        const start = Math.floor(this.random() * ingresses.length);
        for (let step = 0; step < ingresses.length; step++) {
            const ingress = ingresses[(start + step) % ingresses.length]!;
            try {
                return this.#read(req, await this.#request(req, ingress), dueAt);
            }
            catch (err) {
                if (!isRefused(err)) {
                    return this.#told(req, "cut", 0, false, dueAt);
                }
            }
        }
        return this.#told(req, "refused", 0, false, dueAt);
    }

    close(): void {
        this.#agent.destroy();
    }

    #read(req: CallerRequest, got: Got, dueAt: number): Told {
        const { res, body, complete } = got;
        const status = res.statusCode ?? 0;
        const outcome = res.headers["winglock-outcome"];
        if (!complete) {
            return this.#told(req, "cut", status, false, dueAt);
        }
        if (outcome !== undefined) {
            return this.#told(req, outcome as "not-run", status, false, dueAt);
        }
        const wrong = status === 200 && !this.#isOwn(req.id, body);
        const foreign = wrong && !body.startsWith(`{"id":"${req.id}"`);
        return { ...this.#told(req, "answered", status, wrong, dueAt), foreign };
    }

    #isOwn(id: string, body: string): boolean {
        try {
            const { id: answered, pad } = JSON.parse(body) as { id: string; pad: string; };
            return answered === id && pad.length === 200;
        }
        catch {
            return false;
        }
    }

    #told(req: CallerRequest, word: Told["word"], status: number, wrong: boolean, dueAt: number): Told {
        const { id, kind, once } = req;
        return { id, kind, once, word, status, wrong, ms: performance.now() - dueAt, at: dueAt };
    }

    #request(req: CallerRequest, ingress: string): Promise<Got> {
        return new Promise((resolve, reject) => {
            const sent = httpRequest(`http://${ingress}${req.path}`, {
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
            sent.setTimeout(TIMEOUT_MS, () => sent.destroy(new Error("timed out")));
            sent.on("error", reject);
            sent.end(req.method === "POST" ? JSON.stringify({ id: req.id }) : undefined);
        });
    }
}
