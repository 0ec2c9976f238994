/** An upstream's answer on its way from gate to ingress. */
import type { Readable } from "node:stream";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { AnswerNote } from "../wire/answernote.js";

/** The body is at hand, or a stream that errors when the upstream's answer breaks off. */
export type GateAnswer = {
    readonly status: number;
    readonly headers: HttpHeaders;
    readonly body: Buffer | Readable;
    readonly note: AnswerNote | undefined;
};
