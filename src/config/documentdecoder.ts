/** Decodes successive documents in steps; docs/design/configuration-growth.md has the reasons. */
import type { z } from "zod";
import type { StepPause } from "../time/steppause.js";
import { ConfigError } from "./configerror.js";
import { Document } from "./document.js";
import { ItemDecoder } from "./itemdecoder.js";
import { mayShowValue } from "./mayshowvalue.js";
import { parse } from "./parse.js";
import { Rule } from "./rule.js";
import { Service } from "./service.js";
import { Team } from "./team.js";
import { Upstream } from "./upstream.js";

const decoderOf = <Schema extends z.ZodType>(schema: Schema): ItemDecoder<z.infer<Schema>> =>
    new ItemDecoder(raw => parse(schema, raw));

type Lists = {
    readonly services: readonly unknown[];
    readonly upstreams: readonly unknown[];
    readonly rules: readonly unknown[];
    readonly teams?: readonly unknown[];
};

const hasLists = (input: unknown): input is Lists => {
    const { services, upstreams, rules, teams = [] } = (input ?? {}) as Record<string, unknown>;
    return [services, upstreams, rules, teams].every(Array.isArray);
};

/** The result equals that of `parse(Document, input)`; issues may be in another order. */
export class DocumentDecoder {
    readonly #services = decoderOf(Service);
    readonly #upstreams = decoderOf(Upstream);
    readonly #rules = decoderOf(Rule);
    /** A key may be in any field of an invalid team. */
    readonly #teams = new ItemDecoder(raw => parse(Team, raw, () => false));

    /** Throws a ConfigError. Items that equal those of the last document are not validated again. */
    async decode(input: unknown, pause: StepPause): Promise<Document> {
        if (!hasLists(input)) {
            return parse(Document, input, mayShowValue);
        }
        const services = await this.#services.decode("services", input.services, pause);
        const upstreams = await this.#upstreams.decode("upstreams", input.upstreams, pause);
        const rules = await this.#rules.decode("rules", input.rules, pause);
        const teams = await this.#teams.decode("teams", input.teams ?? [], pause);
        const issues = [services, upstreams, rules, teams].flatMap(list => list.issues);
        if (issues.length > 0) {
            throw new ConfigError(issues);
        }
        return {
            ...parse(
                Document,
                { ...input, services: [], upstreams: [], rules: [], ...input.teams && { teams: [] } },
                mayShowValue,
            ),
            services: services.items,
            upstreams: upstreams.items,
            rules: rules.items,
            ...input.teams && { teams: teams.items },
        };
    }
}
