/** Parses JSON that may contain keys. */
import { ConfigError } from "./configerror.js";

const POSITION = /at position \d+/;

/**
 * Returns the value. Throws a ConfigError that names the position of the error, but shows nothing of the text: the
 * messages of Node.js quote a part of it.
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (err) {
        const position = POSITION.exec((err as Error).message)?.[0] ?? `within ${text.length} characters`;
        throw new ConfigError([{ code: "syntax", path: "", message: `the text is not JSON, ${position}` }]);
    }
}
