/** Decides which values of an invalid configuration errors may show. */

/** Fields that contain no keys, whatever is wrong with them. */
const FIELDS_WITHOUT_KEYS: ReadonlySet<PropertyKey> = new Set([
    "revision",
    "changes",
    "services",
    "upstreams",
    "rules",
    "limits",
    "evacuated",
]);

/** Returns false for the path of a value that may contain a key, such as a team or the whole document. */
export function mayShowValue(path: readonly PropertyKey[]): boolean {
    return FIELDS_WITHOUT_KEYS.has(path[0] ?? "");
}
