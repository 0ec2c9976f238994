/**
 * Status codes by the names of RFC 9110 and RFC 6585. Node.js names them only in its HTTP/2 module, which is expensive
 * to load.
 */
export const httpStatus = {
    ok: 200,
    noContent: 204,
    multipleChoices: 300,
    notModified: 304,
    badRequest: 400,
    unauthorized: 401,
    forbidden: 403,
    notFound: 404,
    requestTimeout: 408,
    conflict: 409,
    gone: 410,
    preconditionFailed: 412,
    contentTooLarge: 413,
    misdirectedRequest: 421,
    tooManyRequests: 429,
    requestHeaderFieldsTooLarge: 431,
    internalServerError: 500,
    badGateway: 502,
    serviceUnavailable: 503,
    gatewayTimeout: 504,
    loopDetected: 508,
} as const;
