/** Reads a request from the payload of a frame. */
import { unpack } from "msgpackr";
import { readHead } from "../wire/readhead.js";
import { readHeaders } from "./readheaders.js";
import type { WireCall } from "./wirecall.js";

/** Undefined for what is no request. */
export function unpackCall(payload: Buffer): WireCall | undefined {
    try {
        const list: unknown = unpack(payload);
        if (!Array.isArray(list)) {
            return undefined;
        }
        const [headList, method, path, headerList, follows, body] = list as unknown[];
        const head = readHead(headList);
        const headers = readHeaders(headerList);
        if (head === undefined || headers === undefined || typeof method !== "string" || typeof path !== "string") {
            return undefined;
        }
        return { head, method, path, headers, body: follows === true ? "follows" : bodyOf(body) };
    }
    catch {
        return undefined;
    }
}

const bodyOf = (value: unknown): Buffer | undefined => Buffer.isBuffer(value) ? value : undefined;
