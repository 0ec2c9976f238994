/** Reads a request's JSON body. */
import type { IncomingMessage } from "node:http";

/** Resolves with the parsed body; an empty one is `{}`. */
export async function readJson<Value>(req: IncomingMessage): Promise<Value> {
    return JSON.parse(await readText(req) || "{}") as Value;
}

const readText = async (req: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
};
