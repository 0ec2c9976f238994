/** Sends an upstream's answer to the caller: whole, or as it comes. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { GateAnswer } from "../hop/gateanswer.js";
import { abandonBody } from "../http/abandonbody.js";
import { collect } from "../http/collect.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { passBody } from "../http/passbody.js";

/** Statuses whose answers have no body (RFC 9110, 6.4.1). */
const NO_BODY: ReadonlySet<number> = new Set([httpStatus.noContent, httpStatus.notModified]);

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

/** What the upstream did not frame must not look more complete to the caller than it did here. */
const endWithConnection = (res: ServerResponse): void => {
    res.shouldKeepAlive = false;
    res.removeHeader("transfer-encoding");
};

const streamOn = async (res: ServerResponse, body: Buffer | Readable): Promise<void> => {
    if (body instanceof Readable) {
        passBody(body, res);
    }
    else {
        res.end(body);
    }
    await once(res, "close");
};

/**
 * Resolves when the caller has the answer or has left. Rejects only while nothing has been sent, when a body within
 * `bound` bytes breaks off; a longer one that breaks closes the caller's connection.
 */
export async function deliver(
    res: ServerResponse,
    answer: GateAnswer,
    whole: boolean,
    headOnly: boolean,
    bound: number,
): Promise<void> {
    const headers = definedOnly(answer.headers);
    const bare = headOnly || NO_BODY.has(answer.status);
    if (!whole && !bare) {
        res.writeHead(answer.status, headers);
        res.flushHeaders();
        return streamOn(res, answer.body);
    }
    const { whole: complete, chunks, size } = await collect(answer.body, bare ? Infinity : bound);
    if (res.destroyed) {
        abandonBody(answer.body);
        return;
    }
    if (!complete) {
        res.writeHead(answer.status, headers);
        chunks.forEach(chunk => res.write(chunk));
        return streamOn(res, answer.body);
    }
    if (!bare && answer.note?.unframed) {
        endWithConnection(res);
    }
    else if (!bare) {
        headers["content-length"] = String(size);
    }
    res.writeHead(answer.status, headers);
    res.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
}
