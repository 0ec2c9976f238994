/** Computes the patch between two documents. */
import type { Document } from "./document.js";
import { isEqualJson } from "./isequaljson.js";
import type { Patch } from "./patch.js";

type Named = { readonly name: string; };

const changedItems = <Item extends Named>(before: readonly Item[], after: readonly Item[]): Item[] => {
    const beforeByName = new Map(before.map(item => [item.name, item]));
    return after.filter(item => !isEqualJson(beforeByName.get(item.name), item));
};

const deletedNames = (before: readonly Named[], after: readonly Named[]): string[] => {
    const remaining = new Set(after.map(item => item.name));
    return before.filter(item => !remaining.has(item.name)).map(item => item.name);
};

/** Returns the patch that turns `before` into `after`. */
export function makePatch(before: Document, after: Document): Patch {
    return {
        from: before.revision,
        to: after.revision,
        changes: after.changes.filter(change => change.revision > before.revision),
        services: changedItems(before.services, after.services),
        upstreams: changedItems(before.upstreams, after.upstreams),
        rules: changedItems(before.rules, after.rules),
        limits: after.limits,
        ...after.teams !== undefined && {
            teams: changedItems(before.teams ?? [], after.teams),
            deletedTeams: deletedNames(before.teams ?? [], after.teams),
        },
        evacuated: after.evacuated,
        deletedServices: deletedNames(before.services, after.services),
        deletedUpstreams: deletedNames(before.upstreams, after.upstreams),
        deletedRules: deletedNames(before.rules, after.rules),
    };
}
