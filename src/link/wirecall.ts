/** Defines a request as it is sent between daemons. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { OnDemandBody } from "./ondemandbody.js";
import type { WireBody } from "./wirebody.js";

/** `head` is the metadata for the gate; the other fields are the request as it is sent to the upstream. */
export type WireCall = {
    readonly head: RequestMetadata;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    /** An OnDemandBody is sent in frames of its own after the receiver has asked for it. */
    readonly body: WireBody | OnDemandBody;
};
