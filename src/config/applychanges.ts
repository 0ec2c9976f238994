/** Applies operators' changes to a document. */
import type { ChangeId } from "../ids/changeid.js";
import type { HallName } from "../ids/hallname.js";
import type { Change } from "./change.js";
import { checkDocument } from "./checkdocument.js";
import { ConfigError } from "./configerror.js";
import type { Document } from "./document.js";
import { keptChanges } from "./keptchanges.js";

type Named = { readonly name: string; };

/** Replaces the item of the same name, or appends the item. */
const put = <Item extends Named>(list: Item[], item: Item): Item[] => {
    const index = list.findIndex(other => other.name === item.name);
    return index < 0 ? [...list, item] : list.with(index, item);
};

const remove = <Item extends Named>(list: Item[], name: string, path: string): Item[] => {
    const remaining = list.filter(item => item.name !== name);
    if (remaining.length === list.length) {
        throw new ConfigError([{ code: "not-found", path, message: `no item is named ${name}` }]);
    }
    return remaining;
};

const setDraining = (document: Document, name: string, draining: boolean): Document => {
    const upstream = document.upstreams.find(item => item.name === name);
    if (upstream === undefined) {
        throw new ConfigError([{ code: "not-found", path: "upstreams", message: `no upstream is named ${name}` }]);
    }
    return { ...document, upstreams: put(document.upstreams, { ...upstream, draining }) };
};

const setEvacuated = (document: Document, hall: HallName, evacuated: boolean): Document => {
    if (evacuated && !document.upstreams.some(upstream => upstream.hall === hall)) {
        throw new ConfigError([{ code: "not-found", path: "hall", message: `no upstream is in hall ${hall}` }]);
    }
    const others = (document.evacuated ?? []).filter(other => other !== hall);
    return { ...document, evacuated: evacuated ? [...others, hall].sort() : others };
};

const applyChange = (document: Document, change: Change): Document => {
    switch (change.type) {
        case "putService":
            return { ...document, services: put(document.services, change.service) };
        case "putUpstream":
            return { ...document, upstreams: put(document.upstreams, change.upstream) };
        case "putRule":
            return { ...document, rules: put(document.rules, change.rule) };
        case "putTeam":
            return { ...document, teams: put(document.teams ?? [], change.team) };
        case "deleteTeam":
            return { ...document, teams: remove(document.teams ?? [], change.name, "teams") };
        case "deleteService":
            return { ...document, services: remove(document.services, change.name, "services") };
        case "deleteUpstream":
            return { ...document, upstreams: remove(document.upstreams, change.name, "upstreams") };
        case "deleteRule":
            return { ...document, rules: remove(document.rules, change.name, "rules") };
        case "setDraining":
            return setDraining(document, change.name, change.draining);
        case "setEvacuated":
            return setEvacuated(document, change.hall, change.evacuated);
        case "replace":
            return {
                ...document,
                services: [...change.content.services],
                upstreams: [...change.content.upstreams],
                rules: [...change.content.rules],
                ...change.content.teams !== undefined && { teams: [...change.content.teams] },
            };
    }
};

/**
 * Returns a document with all changes applied and the next revision; `document` itself is not modified. Throws a
 * ConfigError if a change or the resulting document is invalid.
 */
export function applyChanges(document: Document, id: ChangeId, changes: readonly Change[]): Document {
    const changed = changes.reduce(applyChange, document);
    const issues = checkDocument(changed);
    if (issues.length > 0) {
        throw new ConfigError(issues);
    }
    const revision = document.revision + 1;
    return { ...changed, revision, changes: [...document.changes, { id, revision }].slice(-keptChanges) };
}
