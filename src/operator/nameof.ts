/** From a number of the schema back to our own name. */

/** The key of the value; undefined for one that is not there, such as "unspecified". */
export function nameOf<Name extends string>(names: Readonly<Record<Name, number>>, value: number): Name | undefined {
    return (Object.keys(names) as Name[]).find(name => names[name] === value);
}
