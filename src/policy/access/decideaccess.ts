/**
 * Decides whether a request may be served, and for which team.
 *
 * A document without teams restricts nothing. Otherwise a request with a key needs a key of a team, and, under strict
 * revocation, a configuration that was confirmed recently. A request that presents a key is judged by it, also if its
 * rule is public or if it looks like a call. A request without a key is served if its rule is public, or if it is a call
 * of a request that runs at an upstream beside this daemon; the call is accounted to the team of that request.
 */
import type { Document } from "../../config/document.js";
import type { Rule } from "../../config/rule.js";
import type { Team } from "../../config/team.js";
import type { TeamName } from "../../ids/teamname.js";
import type { AccessDecision } from "./accessdecision.js";
import { allowedRegions } from "./allowedregions.js";
import type { PresentedKey } from "./presentedkey.js";
import type { TeamIndex } from "./teamindex.js";
import { teamIndexOf } from "./teamindexof.js";

const NO_TEAM = "none" as TeamName;

type AccessInput = {
    readonly document: Document;
    readonly rule: Rule;
    readonly key: PresentedKey;
    /** The team of the running request that makes this call; undefined if the request is not a call. */
    readonly parentTeam: TeamName | undefined;
    /** Milliseconds since the configuration was last known to be the newest. */
    readonly configurationAgeMs: number;
    /** Age from which on keyed requests are refused, in milliseconds; undefined if revocation is not strict. */
    readonly keyedAgeLimitMs: number | undefined;
};

type Granted = Extract<AccessDecision, { type: "granted"; }>;

/** `team` is undefined if the document has no team of the name `name`. */
const grant = (
    rule: Rule,
    name: TeamName,
    team: Team | undefined,
    identity: Granted["identity"],
): Granted => ({
    type: "granted",
    team: name,
    priority: team?.priority ?? rule.priority,
    identity,
    regions: allowedRegions(rule.regions, team?.regions),
});

/** `name` is `none` for a request to a public rule and for the calls that such a request makes. */
const grantWithoutKey = (rule: Rule, name: TeamName, { byName }: TeamIndex): Granted =>
    grant(rule, name, name === NO_TEAM ? undefined : byName.get(name), { statedTeam: undefined });

/** Returns the team, priority and regions of the request, or why it is refused. */
export function decideAccess(input: AccessInput): AccessDecision {
    const { document, rule, key, parentTeam, configurationAgeMs, keyedAgeLimitMs } = input;
    const teams = teamIndexOf(document);
    if (teams === undefined) {
        return grant(rule, rule.tenant, undefined, undefined);
    }
    if (key.type === "malformed") {
        return { type: "refused", problem: "unauthorized", reason: "malformed-key" };
    }
    if (key.type === "none") {
        return parentTeam !== undefined || rule.public === true
            ? grantWithoutKey(rule, parentTeam ?? NO_TEAM, teams)
            : { type: "refused", problem: "unauthorized", reason: "missing-key" };
    }
    if (keyedAgeLimitMs !== undefined && configurationAgeMs >= keyedAgeLimitMs) {
        return { type: "refused", problem: "stale", reason: "stale-configuration" };
    }
    const team = teams.byKey.get(key.digest);
    return team === undefined
        ? { type: "refused", problem: "unauthorized", reason: "unknown-key" }
        : grant(rule, team.name, team, { statedTeam: team.name });
}
