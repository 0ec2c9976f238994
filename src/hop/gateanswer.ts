/** An upstream's answer on its way from gate to ingress. */
import type { Readable } from "node:stream";
import type { AnswerNote } from "./answernote.js";
import type { HttpHeaders } from "./httpheaders.js";

/** The body is at hand, or a stream that errors when the upstream's answer breaks off. */
export type GateAnswer = {
    readonly status: number;
    readonly headers: HttpHeaders;
    readonly body: Buffer | Readable;
    readonly note: AnswerNote | undefined;
};
