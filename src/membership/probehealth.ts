/** Asks an upstream's health endpoint once, over a connection of its own. */
import { Client } from "undici";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";

/** An upstream on the same host answers within milliseconds, unless it is busy. */
const TIMEOUT_MS = 250;

/** Throws what the connection throws, and when no answer comes in time. */
export async function askHealth(
    address: Address,
    path: string,
): Promise<{ readonly status: number; readonly headers: HttpHeaders; }> {
    const client = new Client(`http://${address}`);
    try {
        const signal = AbortSignal.timeout(TIMEOUT_MS);
        const { statusCode: status, headers, body } = await client.request({ method: "GET", path, signal });
        await body.dump();
        return { status, headers };
    }
    finally {
        void client.destroy();
    }
}
