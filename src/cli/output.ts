/** Where the command writes. */

const bigintToNumber = (_key: string, value: unknown): unknown => typeof value === "bigint" ? Number(value) : value;

/** Prints for people or, with `--json`, for programs: one line. */
export function output(json: boolean, data: unknown, text: string): void {
    console.log(json ? JSON.stringify(data, bigintToNumber) : text);
}
