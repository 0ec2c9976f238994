/** The kinds of frames that daemons send each other. */

/** The number is the frame's first byte; no HTTP request begins with one of them. */
export const frameType = {
    /** First on each connection, from the caller's side: the key that daemons share. */
    greeting: 1,
    /** A request, with its body if that is at hand. */
    call: 2,
    /** An answer, or a refusal, with the body if that is at hand. */
    response: 3,
    /** A part of a body that did not come with the frame before it. */
    data: 4,
    /** The end of such a body. */
    end: 5,
    /** Such a body has broken off, and the connection is in order. */
    broken: 6,
    /** A question whether the connection carries anything, from the caller's side at any time. */
    probe: 7,
    /** The answer to it: a note of who answers, empty from daemons of older versions. */
    probeResponse: 8,
} as const;
