/** Reads a record whose fields come in a fixed order, without names. */

/** An object with the named fields, those that are null or missing left out; undefined for what is no list. */
export function readList(text: string | string[] | undefined, names: readonly string[]): object | undefined {
    if (typeof text !== "string") {
        return undefined;
    }
    try {
        const values: unknown = JSON.parse(text);
        if (!Array.isArray(values)) {
            return undefined;
        }
        const fields = names.map((name, at) => [name, values[at] as unknown] as const);
        return Object.fromEntries(fields.filter(([, value]) => value !== null && value !== undefined));
    }
    catch {
        return undefined;
    }
}
