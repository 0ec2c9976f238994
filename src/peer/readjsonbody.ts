/** Reads the body of a response between daemons. */
import type { Transfer } from "./transfer.js";

/** Resolves with the parsed body, and counts its bytes while they are received. */
export async function readJsonBody(body: AsyncIterable<Buffer>, transfer: Transfer): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of body) {
        transfer.recordBytes(chunk.length);
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString());
}
