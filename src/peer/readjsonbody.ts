/** Reads the body of a response between daemons. */
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import { ByteCollector } from "../http/bytecollector.js";
import type { Transfer } from "./transfer.js";

const gunzipAsync = promisify(gunzip);

/** Many times the size of the largest document; bounds the memory that a faulty peer can make this daemon use. */
const MAX_BYTES = 32 * 1024 * 1024;

/**
 * Resolves with the parsed body, which may be compressed with gzip, and counts its bytes while they are received. Rejects,
 * and destroys the body, if it is too long.
 */
export async function readJsonBody(
    body: AsyncIterable<Buffer>,
    encoding: string | string[] | undefined,
    transfer: Transfer,
): Promise<unknown> {
    const collector = new ByteCollector();
    for await (const chunk of body) {
        transfer.recordBytes(chunk.length);
        collector.add(chunk);
        if (collector.size > MAX_BYTES) {
            throw new Error(`the response is longer than ${MAX_BYTES} bytes`);
        }
    }
    const { bytes } = collector;
    const text = encoding === "gzip" ? await gunzipAsync(bytes, { maxOutputLength: MAX_BYTES }) : bytes;
    return JSON.parse(text.toString());
}
