/** Checks whether the items of a document can be told apart by their names. */
import type { Document } from "./document.js";

type Named = { readonly name: string; };

const areUnique = (items: readonly Named[]): boolean => new Set(items.map(item => item.name)).size === items.length;

/** Returns true if no two items of a list have the same name. */
export function hasUniqueNames({ services, upstreams, rules, teams = [] }: Document): boolean {
    return [services, upstreams, rules, teams].every(areUnique);
}
