/** Reads what goes with a request from ingress to gate. */
import { CallHead } from "./callhead.js";
import { headFields } from "./headfields.js";
import { readList } from "./readlist.js";

/** Returns undefined for what is no head. */
export function readHead(text: string | string[] | undefined): CallHead | undefined {
    return CallHead.safeParse(readList(text, headFields)).data;
}
