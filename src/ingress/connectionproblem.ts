/** The response to bytes that are not a request: no request, and hence no response object, exists for them. */
import { STATUS_CODES } from "node:http";
import { httpStatus } from "../http/httpstatus.js";

const STATUS_BY_ERROR: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: httpStatus.requestHeaderFieldsTooLarge,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: httpStatus.contentTooLarge,
    ERR_HTTP_REQUEST_TIMEOUT: httpStatus.requestTimeout,
};

/** Returns the response that ends the connection, for the code of the parser's error. */
export function connectionProblem(errorCode: string | undefined): string {
    const status = STATUS_BY_ERROR[errorCode ?? ""] ?? httpStatus.badRequest;
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
