/** Reads the path of a request's target. */
import type { IncomingMessage } from "node:http";

/** Returns path and query of an origin-form or absolute-form target (RFC 9112, 3.2), or undefined for any other. */
export function pathOf(req: IncomingMessage): string | undefined {
    const target = req.url ?? "";
    if (target.startsWith("/")) {
        return target;
    }
    if (!URL.canParse(target) || !/^https?:/.test(target)) {
        return undefined;
    }
    const url = new URL(target);
    return url.pathname + url.search;
}
