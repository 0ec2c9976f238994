/** Picks the lines of one request out of logs. */
import { RequestLogLine } from "./requestlogline.js";

const parseLine = (line: string): unknown => {
    try {
        return JSON.parse(line.slice(line.indexOf("{"))) as unknown;
    }
    catch {
        // Files of logs hold lines of others too: what is no JSON is none of the request's.
        return undefined;
    }
};

/** In the order of their times; a prefix of a line before its JSON, such as a host's name, is ignored. */
export function readRequestLog(text: string, id: string): RequestLogLine[] {
    return text.split("\n")
        .filter(line => line.includes(id))
        .map(line => RequestLogLine.safeParse(parseLine(line)).data)
        .filter(line => line?.id === id)
        .map(line => line!)
        .sort((one, other) => one.time - other.time);
}
