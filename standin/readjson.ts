/** Reads the JSON body of a request. */
import type { IncomingMessage } from "node:http";
import { readText } from "./readtext.js";

/** Resolves with the parsed body; an empty body gives `{}`. */
export async function readJson<Value>(req: IncomingMessage): Promise<Value> {
    return JSON.parse(await readText(req) || "{}") as Value;
}
