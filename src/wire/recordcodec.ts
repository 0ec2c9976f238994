/** Records as they go between daemons: lists of values in a fixed order, since names would be most of the bytes. */

/** Of a millisecond. */
const TENTHS = 10;

/**
 * A field: `time` is milliseconds, sent as whole tenths and rounded down, so that no time that is told is later than the
 * truth; one of a list of words is sent as its number; a codec is a record within the record. `usual` is left out.
 */
type Field = {
    readonly name: string;
    readonly form?: "time" | readonly string[] | RecordCodec;
    readonly usual?: unknown;
};

/** The fields that are often left out come last. */
export class RecordCodec {
    constructor(private readonly fields: readonly Field[]) {}

    /** What is undefined at the end is left out. */
    write(record: object): unknown[] {
        const values = this.fields.map(field => writeValue((record as Record<string, unknown>)[field.name], field));
        return values.slice(0, values.findLastIndex(value => value !== undefined) + 1);
    }

    /** An unchecked object of the fields that are there; undefined for what is no list. */
    read(list: unknown): object | undefined {
        if (!Array.isArray(list)) {
            return undefined;
        }
        const record: Record<string, unknown> = {};
        this.fields.forEach((field, at) => {
            const value = list[at] as unknown;
            if (value !== undefined && value !== null) {
                record[field.name] = readValue(value, field);
            }
        });
        return record;
    }
}

function writeValue(value: unknown, { form, usual }: Field): unknown {
    if (value === undefined || value === usual) {
        return undefined;
    }
    if (form === "time") {
        return Math.floor(value as number * TENTHS);
    }
    if (form instanceof RecordCodec) {
        return form.write(value as object);
    }
    return form === undefined ? value : form.indexOf(value as string);
}

function readValue(value: unknown, { form }: Field): unknown {
    if (form === "time") {
        return typeof value === "number" ? value / TENTHS : value;
    }
    if (form instanceof RecordCodec) {
        return form.read(value);
    }
    return form === undefined ? value : form[value as number];
}
