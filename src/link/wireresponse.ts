/** Defines a response or a refusal as it is sent between daemons. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import type { WireBody } from "./wirebody.js";

/** `last` is true if the connection takes no more requests after this response. */
export type WireResponse = {
    readonly metadata: ResponseMetadata;
    readonly status: number;
    readonly headers: HttpHeaders;
    readonly last: boolean;
    readonly body: WireBody;
};
