/** Estimates the memory that a parsed request takes. */
import type { IncomingMessage } from "node:http";
import { headBytes } from "./headbytes.js";

/** The objects of Node's HTTP server for a request and its response, and those of the request's handler. */
const OBJECT_BYTES = 6 * 1024;
/** The text of the head is kept as it was received and again as fields by name. */
const HEAD_COPIES = 2;

/** Returns the bytes without the body. */
export function requestBytes(req: IncomingMessage): number {
    return OBJECT_BYTES + HEAD_COPIES * headBytes(req);
}
