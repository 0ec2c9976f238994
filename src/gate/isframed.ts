/** Determines whether a response states where its body ends (RFC 9112, section 6.3). */
import type { HttpHeaders } from "../http/httpheaders.js";

/**
 * Returns false for a response that ends with its connection: only the way in which the connection ends shows whether
 * the response is complete.
 */
export function isFramed(headers: HttpHeaders): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
