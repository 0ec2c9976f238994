/** Writes a request as the payload of a frame. */
import { pack } from "msgpackr";
import type { GateCall } from "../hop/gatecall.js";
import { requestMetadataCodec } from "../wire/requestmetadatacodec.js";
import type { WireBody } from "./wirebody.js";
import { writeHeaders } from "./writeheaders.js";

/** A list of the head, the method, the path, the fields, whether a body follows, and the body if it is at hand. */
export function packCall({ head, method, path, headers }: GateCall, body: WireBody): Buffer {
    const follows = body === "follows";
    const list = [requestMetadataCodec.write(head), method, path, writeHeaders(headers), follows];
    return pack(body === undefined || follows ? list : [...list, body]);
}
