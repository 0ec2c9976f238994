/** Prints the output of a command. */

const bigintToNumber = (_key: string, value: unknown): unknown => typeof value === "bigint" ? Number(value) : value;

/** Prints the text or, with `--json`, the data as one line of JSON. */
export function output(json: boolean, data: unknown, text: string): void {
    console.log(json ? JSON.stringify(data, bigintToNumber) : text);
}
