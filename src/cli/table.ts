/** Tables for people. */

const GAP = "  ";

/** Aligns the rows under the heads; without rows, only the heads. */
export function table(headers: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headers.map(head => head.toUpperCase()), ...rows];
    const widths = headers.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
    return lines.map(line => line.map((cell, at) => cell.padEnd(widths[at]!)).join(GAP).trimEnd()).join("\n");
}
