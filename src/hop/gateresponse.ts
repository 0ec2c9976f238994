/** An upstream's response as a gate passes it to an ingress. */
import type { Readable } from "node:stream";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";

/** `body` is complete if it is a buffer; a stream fails if the upstream's response breaks off. */
export type GateResponse = {
    readonly status: number;
    readonly headers: HttpHeaders;
    readonly body: Buffer | Readable;
    readonly metadata: ResponseMetadata | undefined;
};
