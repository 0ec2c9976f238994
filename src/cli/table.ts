/** Tables for people. */

const GAP = "  ";

/** Aligns the rows under the heads; without rows, only the heads. */
export function table(heads: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [heads.map(head => head.toUpperCase()), ...rows];
    const widths = heads.map((_, at) => Math.max(...lines.map(line => line[at]!.length)));
    return lines.map(line => line.map((cell, at) => cell.padEnd(widths[at]!)).join(GAP).trimEnd()).join("\n");
}
