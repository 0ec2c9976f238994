/** Compares two versions of the settings. */

/** Returns the sorted names of the top-level fields whose values differ. */
export function changedFields(before: object, after: object): string[] {
    const oldValues = new Map(Object.entries(before).map(([name, value]) => [name, JSON.stringify(value)]));
    const newValues = new Map(Object.entries(after).map(([name, value]) => [name, JSON.stringify(value)]));
    return [...new Set([...oldValues.keys(), ...newValues.keys()])].filter(name =>
        oldValues.get(name) !== newValues.get(name)
    ).sort();
}
