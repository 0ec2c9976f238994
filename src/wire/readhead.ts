/** Decodes and validates the metadata of a request. */
import { CallHead } from "./callhead.js";
import { headCodec } from "./headcodec.js";

/** Returns the metadata, or undefined if it is invalid. */
export function readHead(list: unknown): CallHead | undefined {
    return CallHead.safeParse(headCodec.read(list)).data;
}
