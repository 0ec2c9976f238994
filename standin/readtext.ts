/** Reads the body of a request as text. */
import type { IncomingMessage } from "node:http";

/** Resolves with the whole body as text. */
export async function readText(req: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}
