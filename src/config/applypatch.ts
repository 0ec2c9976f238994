/** Applies a patch to the document that a daemon has. */
import type { Document } from "./document.js";
import { keptChanges } from "./keptchanges.js";
import type { Patch } from "./patch.js";

type Named = { readonly name: string; };

const merge = <Item extends Named>(
    items: readonly Item[],
    puts: readonly Item[],
    deletes: readonly string[],
): Item[] => {
    const byName = new Map(items.map(item => [item.name, item]));
    deletes.forEach(name => byName.delete(name));
    puts.forEach(item => byName.set(item.name, item));
    return [...byName.values()];
};

/** Returns the patched document, or undefined if the patch does not lead from its revision to a newer one. */
export function applyPatch(document: Document, patch: Patch): Document | undefined {
    if (patch.from !== document.revision || patch.to <= patch.from) {
        return undefined;
    }
    return {
        revision: patch.to,
        changes: [...document.changes, ...patch.changes].slice(-keptChanges),
        services: merge(document.services, patch.services, patch.deletedServices),
        upstreams: merge(document.upstreams, patch.upstreams, patch.deletedUpstreams),
        rules: merge(document.rules, patch.rules, patch.deletedRules),
        ...(patch.limits === undefined ? {} : { limits: patch.limits }),
        ...(patch.teams === undefined
            ? {}
            : { teams: merge(document.teams ?? [], patch.teams, patch.deletedTeams ?? []) }),
        ...(patch.evacuated === undefined ? {} : { evacuated: patch.evacuated }),
    };
}
