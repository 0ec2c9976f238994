/** Distinguishes the bodies that wait until the gate asks for them. */
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import { maxEagerBodyBytes } from "./maxeagerbodybytes.js";

/** Returns true for a body that is longer than `maxEagerBodyBytes`, or that is streamed since it may be. */
export function isLargeBody(body: GateCall["body"]): boolean {
    return body instanceof Readable || (body?.length ?? 0) > maxEagerBodyBytes;
}
