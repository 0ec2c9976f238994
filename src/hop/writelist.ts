/** Records as they go over the wire: their fields in a fixed order, without names, which would be most of the bytes. */

/** JSON of the values; what is undefined is null, and nulls at the end are left out. */
export function writeList(values: readonly unknown[]): string {
    const length = values.findLastIndex(value => value !== undefined) + 1;
    return JSON.stringify(values.slice(0, length));
}
