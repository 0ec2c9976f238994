/** Compares JSON values. */

/** Returns true if both values have the same JSON, apart from the order of fields. A field with undefined is absent. */
export function isEqualJson(one: unknown, other: unknown): boolean {
    if (one === other) {
        return true;
    }
    if (typeof one !== "object" || typeof other !== "object" || one === null || other === null) {
        return false;
    }
    if (Array.isArray(one) || Array.isArray(other)) {
        return Array.isArray(one) && Array.isArray(other) && one.length === other.length
            && one.every((value, index) => isEqualJson(value, other[index]));
    }
    return hasFieldsOf(one, other) && hasFieldsOf(other, one);
}

const hasFieldsOf = (one: object, other: object): boolean =>
    Object.entries(other).every(([name, value]) => isEqualJson((one as Record<string, unknown>)[name], value));
