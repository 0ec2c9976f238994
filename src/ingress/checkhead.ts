/** Checks the head of a caller's request before the request is planned. */
import type { IncomingMessage } from "node:http";
import { headBytes } from "./headbytes.js";
import { pathOf } from "./pathof.js";
import type { RequestRefusal } from "./requestrefusal.js";

/** The version of HTTP whose requests must have a host field (RFC 9112, 3.2). */
const HOST_REQUIRED_VERSION = "1.1";

type ValidHead = { readonly type: "valid"; readonly path: string; };

/** Returns the path, with its query, of a valid head of at most `maxBytes` bytes; otherwise the refusal to send. */
export function checkHead(req: IncomingMessage, maxBytes: number): ValidHead | RequestRefusal {
    const path = pathOf(req);
    if (path === undefined) {
        return { type: "refusal", problem: "bad-request", detail: "target" };
    }
    if (req.headers.host === undefined && req.httpVersion === HOST_REQUIRED_VERSION) {
        return { type: "refusal", problem: "bad-request", detail: "host" };
    }
    if (headBytes(req) > maxBytes) {
        return { type: "refusal", problem: "head-too-large", detail: "header" };
    }
    return { type: "valid", path };
}
