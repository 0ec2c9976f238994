/** Sends one request to an upstream's health endpoint, over a separate connection. */
import { discardBody } from "../http/discardbody.js";
import { HttpClient } from "../http/httpclient.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Address } from "../ids/address.js";

/** An upstream on the same host responds within milliseconds unless it is busy. */
const TIMEOUT_MS = 250;

/**
 * Returns the status and headers of the response; rejects if the connection fails or no complete response arrives in
 * time.
 */
export async function probeHealth(
    address: Address,
    path: string,
): Promise<{ readonly status: number; readonly headers: HttpHeaders; }> {
    const client = new HttpClient(`http://${address}`);
    try {
        const signal = AbortSignal.timeout(TIMEOUT_MS);
        const { statusCode: status, headers, body } = await client.request({ method: "GET", path, signal });
        await discardBody(body);
        return { status, headers };
    }
    finally {
        void client.destroy();
    }
}
