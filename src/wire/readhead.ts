/** Reads what goes with a request from ingress to gate. */
import { CallHead } from "./callhead.js";
import { headCodec } from "./headcodec.js";

/** Returns undefined for what is no head. */
export function readHead(list: unknown): CallHead | undefined {
    return CallHead.safeParse(headCodec.read(list)).data;
}
