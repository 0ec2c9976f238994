/** Defines the changes that operators can make to the configuration. */
import type { HallName } from "../ids/hallname.js";
import type { Rule } from "./rule.js";
import type { Service } from "./service.js";
import type { Team } from "./team.js";
import type { Upstream } from "./upstream.js";

/** The part of a document that `replace` replaces. */
type Content = {
    readonly services: readonly Service[];
    readonly upstreams: readonly Upstream[];
    readonly rules: readonly Rule[];
    readonly teams?: readonly Team[] | undefined;
};

/**
 * A `put` replaces the item of the same name, or adds the item. The first team makes keys necessary, and they stay
 * necessary when the last team is deleted. `replace` replaces all services, upstreams and rules, and the teams if the
 * content has any, and keeps the other fields of the document.
 */
export type Change =
    | { readonly type: "putService"; readonly service: Service; }
    | { readonly type: "putUpstream"; readonly upstream: Upstream; }
    | { readonly type: "putRule"; readonly rule: Rule; }
    | { readonly type: "putTeam"; readonly team: Team; }
    | { readonly type: "deleteTeam"; readonly name: string; }
    | { readonly type: "deleteService"; readonly name: string; }
    | { readonly type: "deleteUpstream"; readonly name: string; }
    | { readonly type: "deleteRule"; readonly name: string; }
    | { readonly type: "setDraining"; readonly name: string; readonly draining: boolean; }
    | { readonly type: "setEvacuated"; readonly hall: HallName; readonly evacuated: boolean; }
    | { readonly type: "replace"; readonly content: Content; };
