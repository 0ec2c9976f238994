/** Defines the types of frames that daemons send each other. */

/** The values are the first byte of a frame; no HTTP request begins with one of them. */
export const frameType = {
    /** The key that all daemons share; the first frame on each connection, sent by the end that opened it. */
    greeting: 1,
    /** A request, with its body if it is buffered. */
    call: 2,
    /** A response or a refusal, with its body if it is buffered. */
    response: 3,
    /** A part of a streamed body, whose request or response was sent in an earlier frame. */
    data: 4,
    /** The end of a complete streamed body. */
    end: 5,
    /** The end of a streamed body that broke off; the connection itself can still be used. */
    broken: 6,
    /** Asks whether the connection works; the end that opened it may send it at any time. */
    probe: 7,
    /** Responds to a probe with the metadata of the responding daemon; empty from older versions. */
    probeResponse: 8,
    /** Asks for the body of the request that is being served; sent only if the request's frame says that it waits. */
    bodyRequest: 9,
    /** Asks whether the caller of the request that is being served is still there; only if the request says so. */
    callerCheck: 10,
    /** States that the caller is still there; where it has left, the connection is closed instead. */
    callerPresent: 11,
} as const;
