/** Reads the body of a response between daemons. */
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import type { Transfer } from "./transfer.js";

const gunzipAsync = promisify(gunzip);

/** Many times the size of the largest document; bounds the memory that a faulty peer can make this daemon use. */
const MAX_DECODED_BYTES = 32 * 1024 * 1024;

/** Resolves with the parsed body, which may be compressed with gzip, and counts its bytes while they are received. */
export async function readJsonBody(
    body: AsyncIterable<Buffer>,
    encoding: string | string[] | undefined,
    transfer: Transfer,
): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
        transfer.recordBytes(chunk.length);
        chunks.push(chunk);
    }
    const bytes = Buffer.concat(chunks);
    const text = encoding === "gzip" ? await gunzipAsync(bytes, { maxOutputLength: MAX_DECODED_BYTES }) : bytes;
    return JSON.parse(text.toString());
}
