/** Limits how long a streamed request body is sent. */
import { pipeline, Readable, Transform, type TransformCallback } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import type { Clock } from "../time/clock.js";

/**
 * Returns a body that breaks off with the first part that arrives at or after `deadline`, in milliseconds of `clock`,
 * so that the upstream never receives a whole request after its deadline. A buffered body is written with its request.
 */
export function endAtDeadline(body: GateCall["body"], deadline: number, clock: Clock): GateCall["body"] {
    if (!(body instanceof Readable)) {
        return body;
    }
    const checkDeadline = (callback: TransformCallback, chunk?: Buffer): void =>
        clock() < deadline ? callback(null, chunk) : callback(new Error("the deadline passed before the body's end"));
    const limited = new Transform({
        transform: (chunk: Buffer, _encoding, callback) => checkDeadline(callback, chunk),
        flush: callback => checkDeadline(callback),
    });
    return pipeline(body, limited, () => {
        // The reader of the limited body gets the error.
    });
}
