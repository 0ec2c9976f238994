/** Decodes the items of one list of successive documents, and keeps the items that have not changed. */
import type { StepPause } from "../time/steppause.js";
import { ConfigError } from "./configerror.js";
import type { Issue } from "./issue.js";

/** `text` is the JSON of the raw item: it is compared faster, and takes less memory, than the raw item. */
type Known<Item> = { readonly text: string; readonly item: Item; };

/** The items, or the issues of those that are invalid, with their paths in the document. */
type DecodedItems<Item> = { readonly items: Item[]; readonly issues: readonly Issue[]; };

const nameOf = (raw: unknown): unknown => (raw as { readonly name?: unknown; } | null | undefined)?.name;

/** `decodeItem` throws a ConfigError whose paths begin at the item. */
export class ItemDecoder<Item> {
    #known = new Map<unknown, Known<Item>>();

    constructor(private readonly decodeItem: (raw: unknown) => Item) {}

    /** Decodes in steps. An item whose raw form equals that in the last list is the same object as before. */
    async decode(path: string, raws: readonly unknown[], pause: StepPause): Promise<DecodedItems<Item>> {
        const known = new Map<unknown, Known<Item>>();
        const items: Item[] = [];
        const issues: Issue[] = [];
        for (const [index, raw] of raws.entries()) {
            const name = nameOf(raw);
            try {
                const decoded = this.#decode(name, raw);
                items.push(decoded.item);
                known.set(name, decoded);
            }
            catch (err) {
                issues.push(...issuesAt(`${path}.${index}`, err));
            }
            const paused = pause();
            if (paused !== undefined) {
                await paused;
            }
        }
        this.#known = known;
        return { items, issues };
    }

    #decode(name: unknown, raw: unknown): Known<Item> {
        const known = this.#known.get(name);
        const text = JSON.stringify(raw);
        return known?.text === text ? known : { text, item: this.decodeItem(raw) };
    }
}

const issuesAt = (path: string, err: unknown): Issue[] => {
    if (!(err instanceof ConfigError)) {
        throw err;
    }
    return err.issues.map(issue => ({ ...issue, path: issue.path === "" ? path : `${path}.${issue.path}` }));
};
