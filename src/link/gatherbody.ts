/** Reads a body into memory, if it is short. */
import { PassThrough, type Readable } from "node:stream";

/** Most answers are far below it; longer ones go on as they come. */
const MAX_BYTES = 256 * 1024;

const passOn = (body: Readable, begun: readonly Buffer[]): Readable => {
    const out = new PassThrough();
    begun.forEach(chunk => out.write(chunk));
    out.on("error", () => {});
    out.on("close", () => body.destroy());
    body.on("close", () => {
        if (!body.readableEnded) {
            out.destroy(new Error("the body broke off"));
        }
    });
    return body.pipe(out);
};

/** Resolves with the whole body, with a stream of all of it when it is long, or with `broken` when it broke off. */
export function gatherBody(body: Readable): Promise<Buffer | Readable | "broken"> {
    if (body.destroyed) {
        return Promise.resolve("broken");
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const stop = (): void => {
            body.removeListener("data", onData).removeListener("end", onEnd).removeListener("close", onClose);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > MAX_BYTES) {
                stop();
                resolve(passOn(body, chunks));
            }
        };
        const onEnd = (): void => {
            stop();
            resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
        };
        const onClose = (): void => {
            stop();
            resolve("broken");
        };
        body.on("data", onData).on("end", onEnd).on("close", onClose);
    });
}
