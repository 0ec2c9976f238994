/** Sends a request as a client that gives up does. */
import { type Agent, request } from "node:http";

/** The host's IP address, and the request; a body is sent with every method but GET. */
type AbortedRequest = {
    readonly ip: string;
    readonly method?: string;
    readonly path: string;
    readonly id: string;
    readonly timeLimitMs?: number;
    /** Uses its kept connections; each other request gets a connection of its own. */
    readonly agent?: Agent | undefined;
};

/** Sends the request, and closes its connection `afterMs` milliseconds later; resolves when it is closed. */
export function sendAndAbort(aborted: AbortedRequest, afterMs: number): Promise<void> {
    const { ip, method = "GET", path, id, timeLimitMs = 1000, agent = false } = aborted;
    const headers = { "host": "site.example", "attempt-id": id, "deadline-ms": String(timeLimitMs) };
    return new Promise(resolve => {
        const req = request(`http://${ip}:7104${path}`, { method, headers, agent });
        req.on("error", () => {
            // The client itself closes the connection.
        });
        req.on("close", resolve).end(method === "GET" ? undefined : "body");
        setTimeout(() => req.destroy(), afterMs);
    });
}
