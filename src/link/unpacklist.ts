/** Decodes a frame's payload, which is a MessagePack list of values in a fixed order. */
import { unpack } from "msgpackr";
import { LinkError } from "./linkerror.js";

/** Returns the values without validating them; throws a LinkError if the payload is not a list. */
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
