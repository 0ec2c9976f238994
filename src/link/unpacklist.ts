/** Reads a frame's payload, which is a list of values in a fixed order. */
import { unpack } from "msgpackr";
import { LinkError } from "./linkerror.js";

/** The values, unchecked; throws a LinkError for what is no list. */
export function unpackList(payload: Buffer): unknown[] {
    let list: unknown;
    try {
        list = unpack(payload);
    }
    catch (err) {
        throw new LinkError("not-a-frame", { cause: err });
    }
    if (!Array.isArray(list)) {
        throw new LinkError("not-a-frame");
    }
    return list;
}
