/** Sends one request to an upstream's health endpoint, over a separate connection. */
import { Client } from "undici";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";

/** An upstream on the same host responds within milliseconds unless it is busy. */
const TIMEOUT_MS = 250;

/** Returns the status and headers of the response; rejects if the connection fails or no response arrives in time. */
export async function probeHealth(
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
