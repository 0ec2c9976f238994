/** Decodes the update of a peer in steps. */
import type { StepPause } from "../time/steppause.js";
import { ConfigurationUpdate } from "./configurationupdate.js";
import { DocumentDecoder } from "./documentdecoder.js";
import { parse } from "./parse.js";
import { Patch } from "./patch.js";

type Raw = { readonly type?: unknown; readonly patches?: unknown; readonly document?: unknown; };

const LISTS = ["services", "upstreams", "rules", "teams"] as const;

/** The lists of a patch are decoded as those of a document, so that no step is longer than there. */
const decodePatch = async (input: unknown, pause: StepPause): Promise<Patch> => {
    const raw = (input ?? {}) as Record<string, unknown>;
    if (!LISTS.every(name => Array.isArray(raw[name]) || raw[name] === undefined)) {
        return parse(Patch, input);
    }
    const empty = Object.fromEntries(LISTS.filter(name => raw[name] !== undefined).map(name => [name, []]));
    const patch = parse(Patch, { ...raw, ...empty });
    const { services, upstreams, rules, teams } = raw;
    const lists = { services, upstreams, rules, ...teams !== undefined && { teams } };
    const document = await new DocumentDecoder().decode({ revision: 0, changes: [], ...lists }, pause);
    const items = { services: document.services, upstreams: document.upstreams, rules: document.rules };
    return { ...patch, ...items, ...document.teams && { teams: document.teams } };
};

/** The result equals that of `parse(ConfigurationUpdate, input)`. Throws a ConfigError. */
export async function decodeUpdate(input: unknown, pause: StepPause): Promise<ConfigurationUpdate> {
    const { type, patches, document, ...others } = (input ?? {}) as Raw;
    if (Object.keys(others).length > 0) {
        return parse(ConfigurationUpdate, input);
    }
    if (type === "patches" && Array.isArray(patches) && document === undefined) {
        const decoded: Patch[] = [];
        for (const patch of patches) {
            decoded.push(await decodePatch(patch, pause));
        }
        return { type, patches: decoded };
    }
    return type === "full" && patches === undefined
        ? { type, document: await new DocumentDecoder().decode(document, pause) }
        : parse(ConfigurationUpdate, input);
}
