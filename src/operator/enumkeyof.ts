/** Decodes enum values of the schema. */

/** Returns the key of `value` in `names`, or undefined if there is none, as for an unspecified value. */
export function enumKeyOf<Name extends string>(names: Readonly<Record<Name, number>>, value: number): Name | undefined {
    return (Object.keys(names) as Name[]).find(name => names[name] === value);
}
