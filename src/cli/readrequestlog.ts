/** Selects the log lines of one request. */
import { RequestLogLine } from "./requestlogline.js";

const parseLine = (line: string): unknown => {
    try {
        return JSON.parse(line.slice(line.indexOf("{"))) as unknown;
    }
    catch {
        // Log files may also hold lines of other programs. A line that is not JSON does not belong to the request.
        return undefined;
    }
};

/** Returns the request's lines in order of time. Text before a line's JSON, such as a host name, is ignored. */
export function readRequestLog(text: string, id: string): RequestLogLine[] {
    return text.split("\n")
        .filter(line => line.includes(id))
        .map(line => RequestLogLine.safeParse(parseLine(line)).data)
        .filter(line => line?.id === id)
        .map(line => line!)
        .sort((a, b) => a.time - b.time);
}
