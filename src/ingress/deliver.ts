/** Sends an upstream's response to the caller, buffered or streamed. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { GateResponse } from "../hop/gateresponse.js";
import { bufferBody } from "../http/bufferbody.js";
import { destroyBody } from "../http/destroybody.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { pipeBody } from "../http/pipebody.js";

/** Statuses whose responses have no body (RFC 9110, 6.4.1). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([httpStatus.noContent, httpStatus.notModified]);

const definedOnly = (headers: HttpHeaders): Record<string, string | string[]> => {
    const kept: Record<string, string | string[]> = {};
    for (const name in headers) {
        const value = headers[name];
        if (value !== undefined) {
            kept[name] = value;
        }
    }
    return kept;
};

/**
 * Makes the response end with its connection, as the upstream's did. With a length or chunked framing, the caller would
 * take a truncated response for a complete one.
 */
const endByClosing = (res: ServerResponse): void => {
    res.shouldKeepAlive = false;
    res.removeHeader("transfer-encoding");
};

const streamBody = async (res: ServerResponse, body: Buffer | Readable): Promise<void> => {
    if (body instanceof Readable) {
        pipeBody(body, res);
    }
    else {
        res.end(body);
    }
    await once(res, "close");
};

/**
 * Sends a response; resolves when the caller has received it or has left. With `isBuffered`, the response is sent only
 * when its body is complete or longer than `bufferBytes`. Rejects only if nothing has been sent yet, when the body
 * breaks off within `bufferBytes`; if it breaks off later, the caller's connection is closed.
 */
export async function deliver(
    res: ServerResponse,
    response: GateResponse,
    isBuffered: boolean,
    headOnly: boolean,
    bufferBytes: number,
): Promise<void> {
    const headers = definedOnly(response.headers);
    const isBodiless = headOnly || BODILESS_STATUSES.has(response.status);
    if (!isBuffered && !isBodiless) {
        res.writeHead(response.status, headers);
        res.flushHeaders();
        return streamBody(res, response.body);
    }
    const { isComplete, chunks, size } = await bufferBody(response.body, isBodiless ? Infinity : bufferBytes);
    if (res.destroyed) {
        destroyBody(response.body);
        return;
    }
    if (!isComplete) {
        res.writeHead(response.status, headers);
        chunks.forEach(chunk => res.write(chunk));
        return streamBody(res, response.body);
    }
    if (!isBodiless && response.metadata?.unframed) {
        endByClosing(res);
    }
    else if (!isBodiless) {
        headers["content-length"] = String(size);
    }
    res.writeHead(response.status, headers);
    res.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
}
