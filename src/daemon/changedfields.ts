/** What differs between two settings. */

/** The names of the fields whose values differ. */
export function changedFields(before: object, after: object): string[] {
    const old = new Map(Object.entries(before).map(([name, value]) => [name, JSON.stringify(value)]));
    const now = new Map(Object.entries(after).map(([name, value]) => [name, JSON.stringify(value)]));
    return [...new Set([...old.keys(), ...now.keys()])].filter(name => old.get(name) !== now.get(name)).sort();
}
