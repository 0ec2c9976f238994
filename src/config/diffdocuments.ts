/** Formats the difference between two documents for operators. */
import type { Document } from "./document.js";
import { fingerprintOf } from "./fingerprintof.js";
import type { Team } from "./team.js";

type Named = { readonly name: string; };

const diffLists = (itemType: string, before: readonly Named[], after: readonly Named[]): string[] => {
    const beforeByName = new Map(before.map(item => [item.name, JSON.stringify(item)]));
    const lines: string[] = [];
    for (const item of after) {
        const text = JSON.stringify(item);
        const beforeText = beforeByName.get(item.name);
        beforeByName.delete(item.name);
        if (beforeText === undefined) {
            lines.push(`+ ${itemType} ${item.name} ${text}`);
        }
        else if (beforeText !== text) {
            lines.push(`- ${itemType} ${item.name} ${beforeText}`, `+ ${itemType} ${item.name} ${text}`);
        }
    }
    return [...lines, ...[...beforeByName].map(([name, text]) => `- ${itemType} ${name} ${text}`)];
};

const asNamed = (names: readonly string[] = []): Named[] => names.map(name => ({ name }));

const withFingerprints = ({ keyDigests, ...team }: Team): Named => {
    const keys = keyDigests.map(fingerprintOf);
    return { ...team, ...{ keys } };
};

/** Returns a line for each item that was added (`+`) or removed (`-`); a changed item has a line of each. */
export function diffDocuments(before: Document, after: Document): string[] {
    return [
        ...diffLists("service", before.services, after.services),
        ...diffLists("upstream", before.upstreams, after.upstreams),
        ...diffLists("rule", before.rules, after.rules),
        ...diffLists("team", (before.teams ?? []).map(withFingerprints), (after.teams ?? []).map(withFingerprints)),
        ...diffLists("evacuated hall", asNamed(before.evacuated), asNamed(after.evacuated)),
    ];
}
