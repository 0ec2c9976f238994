/** Provides a caller's body that is too long to be kept as a stream. */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { ignoreBodyErrors } from "../http/ignorebodyerrors.js";
import { BodyError } from "./bodyerror.js";

/** The stream fails with a BodyError if the body exceeds `maxBytes` or its caller leaves. */
export class StreamedBody {
    readonly stream: Readable;

    /** `firstBytes` are the bytes that have arrived; `req` must be flowing and have no other reader. */
    constructor(req: IncomingMessage, firstBytes: Buffer, maxBytes: number) {
        const stream = new PassThrough();
        let size = firstBytes.length;
        stream.write(firstBytes);
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                stream.destroy(new BodyError(true));
            }
        });
        const failIncomplete = (): void => void (!req.readableEnded && stream.destroy(new BodyError(false)));
        // The rest is read and discarded, since a caller may read the response only after it has sent the whole body.
        stream.on("close", () => req.unpipe(stream).resume());
        req.on("close", failIncomplete);
        req.pipe(stream);
        this.stream = ignoreBodyErrors(stream);
    }
}
