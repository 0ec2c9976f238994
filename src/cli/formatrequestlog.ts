/** Formats the log lines of one request. */
import type { RequestLogLine } from "./requestlogline.js";

const OMITTED_FIELDS: ReadonlySet<string> = new Set(["time", "part", "id", "message", "level"]);

const formatValue = (value: unknown): string => typeof value === "object" ? JSON.stringify(value) : String(value);

const formatFields = (line: RequestLogLine): string =>
    Object.entries(line).filter(([name]) => !OMITTED_FIELDS.has(name)).map(([name, value]) =>
        `${name} ${formatValue(value)}`
    ).join(
        ", ",
    );

/** Returns a line for each log line: milliseconds since the first one, the part, the message and the other fields. */
export function formatRequestLog(lines: readonly RequestLogLine[]): string {
    const startedAt = lines[0]?.time ?? 0;
    return lines.map(line => {
        const offset = `+${line.time - startedAt} ms`.padEnd(10);
        return `${offset}${line.part.padEnd(9)}${line.message} (${formatFields(line)})`;
    }).join("\n");
}
