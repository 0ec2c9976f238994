/** Formats tables for the terminal. */

const GAP = "  ";

/** Returns the rows aligned under the headers, or only the headers if there are no rows. */
export function table(headers: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [headers.map(head => head.toUpperCase()), ...rows];
    const widths = headers.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join(GAP).trimEnd()).join("\n");
}
