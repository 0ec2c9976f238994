/** Tells the story of one request. */
import type { RequestLogLine } from "./requestlogline.js";

const OMITTED_FIELDS: ReadonlySet<string> = new Set(["time", "part", "id", "message", "level"]);

const toText = (value: unknown): string => typeof value === "object" ? JSON.stringify(value) : String(value);

const fieldsOf = (line: RequestLogLine): string =>
    Object.entries(line).filter(([name]) => !OMITTED_FIELDS.has(name)).map(([name, value]) =>
        `${name} ${toText(value)}`
    ).join(
        ", ",
    );

/** A line each: milliseconds since the first, the part, the sentence, and what it rests on. */
export function formatRequestLog(lines: readonly RequestLogLine[]): string {
    const startedAt = lines[0]?.time ?? 0;
    return lines.map(line => {
        const offset = `+${line.time - startedAt} ms`.padEnd(10);
        return `${offset}${line.part.padEnd(9)}${line.message} (${fieldsOf(line)})`;
    }).join("\n");
}
