/** Encodes records as lists of values in a fixed order, because field names would be most of the bytes. */

const TENTHS_PER_MS = 10;

/**
 * A field and its encoding; without one the value is sent as it is.
 *
 * - `time`: milliseconds, sent as whole tenths. Rounded down, so that no time that is sent is later than the true one.
 * - a list of strings: the value is one of them and is sent as its index.
 * - a codec: the value is a record.
 *
 * A value that equals `defaultValue` is omitted.
 */
type Field = {
    readonly name: string;
    readonly encoding?: "time" | readonly string[] | RecordCodec;
    readonly defaultValue?: unknown;
};

/** Fields that are often omitted come last, because `write` omits only trailing values. */
export class RecordCodec {
    constructor(private readonly fields: readonly Field[]) {}

    /** Returns the list of the values, without undefined values at its end. */
    write(record: object): unknown[] {
        const values = this.fields.map(field => writeValue((record as Record<string, unknown>)[field.name], field));
        return values.slice(0, values.findLastIndex(value => value !== undefined) + 1);
    }

    /** Returns an object with the fields that are present, not validated; undefined if the input is not a list. */
    read(list: unknown): object | undefined {
        if (!Array.isArray(list)) {
            return undefined;
        }
        const record: Record<string, unknown> = {};
        this.fields.forEach((field, index) => {
            const value = list[index] as unknown;
            if (value !== undefined && value !== null) {
                record[field.name] = readValue(value, field);
            }
        });
        return record;
    }
}

function writeValue(value: unknown, { encoding, defaultValue }: Field): unknown {
    if (value === undefined || value === defaultValue) {
        return undefined;
    }
    if (encoding === "time") {
        return Math.floor(value as number * TENTHS_PER_MS);
    }
    if (encoding instanceof RecordCodec) {
        return encoding.write(value as object);
    }
    return encoding === undefined ? value : encoding.indexOf(value as string);
}

function readValue(value: unknown, { encoding }: Field): unknown {
    if (encoding === "time") {
        return typeof value === "number" ? value / TENTHS_PER_MS : value;
    }
    if (encoding instanceof RecordCodec) {
        return encoding.read(value);
    }
    return encoding === undefined ? value : encoding[value as number];
}
