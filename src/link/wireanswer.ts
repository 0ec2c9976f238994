/** An answer, or a refusal, as a peer sent it. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import type { WireBody } from "./wirebody.js";

/** `last` says that the connection takes no more requests. */
export type WireAnswer = {
    readonly note: ResponseMetadata;
    readonly status: number;
    readonly headers: HttpHeaders;
    readonly last: boolean;
    readonly body: WireBody;
};
