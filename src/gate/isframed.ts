/** How an answer shows where it ends (RFC 9112, 6.3). */
import type { HttpHeaders } from "../http/httpheaders.js";

/** False for an answer that ends with its connection: whether it is whole, only the connection's end can tell. */
export function isFramed(headers: HttpHeaders): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
