/** Sends an upstream's response to the caller, buffered or streamed, when it is its turn on its connection. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { GateResponse } from "../hop/gateresponse.js";
import { bufferBody } from "../http/bufferbody.js";
import { destroyBody } from "../http/destroybody.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import { pipeBody } from "../http/pipebody.js";
import type { ResponseTurn } from "./responseturn.js";

/** Statuses whose responses have no body (RFC 9110, 6.4.1). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([httpStatus.noContent, httpStatus.notModified]);

/** With `isBuffered`, a response is sent only when its body is complete or longer than `bufferBytes`. */
type DeliveryOptions = {
    readonly isBuffered: boolean;
    readonly headOnly: boolean;
    readonly bufferBytes: number;
    readonly turn: ResponseTurn;
};

/** A response whose body was received whole. */
type WholeResponse = {
    readonly status: number;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | undefined;
};

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
 * take a truncated response for a complete one. Throws if requests behind it were accepted, since a response that
 * closes the connection states that they were not.
 */
const endByClosing = (res: ServerResponse, turn: ResponseTurn): void => {
    if (!turn.mayClose) {
        throw new Error("the response ends with its connection, on which later requests were accepted");
    }
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

/** Begins a response whose body is streamed; returns false if the caller has left. */
const beginStream = async (
    res: ServerResponse,
    { status, headers, body }: GateResponse,
    turn: ResponseTurn,
): Promise<boolean> => {
    await turn.waitUntilFirst();
    if (res.destroyed) {
        destroyBody(body);
        return false;
    }
    turn.begin();
    res.writeHead(status, definedOnly(headers));
    return true;
};

/** Field names and values are checked here, so that nothing fails when a held response is written. */
const sendWhole = (res: ServerResponse, { status, headers, body }: WholeResponse, turn: ResponseTurn): void => {
    if (turn.isFirst) {
        turn.begin();
        res.writeHead(status, headers);
        res.end(body);
        return;
    }
    res.statusCode = status;
    Object.entries(headers).forEach(([name, value]) => res.setHeader(name, value));
    turn.whenFirst(() => res.end(body));
};

/**
 * Sends a response; resolves when the caller has received it, has left, or the whole response is held until its turn.
 * Rejects only if nothing has been sent yet, when the body breaks off within `bufferBytes`; if it breaks off later, the
 * caller's connection is closed. While the response waits for its turn, its body is read up to `bufferBytes`.
 */
export async function deliver(
    res: ServerResponse,
    response: GateResponse,
    { isBuffered, headOnly, bufferBytes, turn }: DeliveryOptions,
): Promise<void> {
    const isBodiless = headOnly || BODILESS_STATUSES.has(response.status);
    if (!isBuffered && !isBodiless) {
        if (await beginStream(res, response, turn)) {
            res.flushHeaders();
            await streamBody(res, response.body);
        }
        return;
    }
    const { isComplete, bytes } = await bufferBody(response.body, isBodiless ? Infinity : bufferBytes);
    if (res.destroyed) {
        destroyBody(response.body);
        return;
    }
    if (!isComplete) {
        if (await beginStream(res, response, turn)) {
            res.write(bytes);
            await streamBody(res, response.body);
        }
        return;
    }
    const headers = definedOnly(response.headers);
    if (!isBodiless && response.metadata?.unframed) {
        await turn.waitUntilFirst();
        endByClosing(res, turn);
    }
    else if (!isBodiless) {
        headers["content-length"] = String(bytes.length);
    }
    sendWhole(res, { status: response.status, headers, body: bytes }, turn);
}
