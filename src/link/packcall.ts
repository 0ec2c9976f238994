/** Encodes a request as the payload of a frame. */
import { pack } from "msgpackr";
import type { GateCall } from "../hop/gatecall.js";
import { requestMetadataCodec } from "../wire/requestmetadatacodec.js";
import { OnDemandBody } from "./ondemandbody.js";
import type { WireBody } from "./wirebody.js";
import { writeHeaders } from "./writeheaders.js";

/**
 * Returns a MessagePack list of the metadata, the method, the path, the header fields, whether the body follows in
 * frames (or `on-demand`), and the body if it is buffered. If it is sent on demand, the last value is its length.
 */
export function packCall({ head, method, path, headers }: GateCall, body: WireBody | OnDemandBody): Buffer {
    if (body instanceof OnDemandBody) {
        return pack([requestMetadataCodec.write(head), method, path, writeHeaders(headers), "on-demand", body.size]);
    }
    const follows = body === "follows";
    const list = [requestMetadataCodec.write(head), method, path, writeHeaders(headers), follows];
    return pack(body === undefined || follows ? list : [...list, body]);
}
