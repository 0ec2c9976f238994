/** Explains whether a request would be granted access, and with which team, priority and regions. */
import type { Document } from "../config/document.js";
import { fingerprintOf } from "../config/fingerprintof.js";
import type { Rule } from "../config/rule.js";
import type { KeyDigest } from "../ids/keydigest.js";
import type { TeamName } from "../ids/teamname.js";
import { decideAccess } from "../policy/access/decideaccess.js";
import { teamIndexOf } from "../policy/access/teamindexof.js";
import type { Explanation } from "./explanation.js";

/** What the request is assumed to present: a key, or else a key of a team, or else nothing. */
type ExplainedCaller = { readonly team?: TeamName | undefined; readonly keyDigest?: KeyDigest | undefined; };

type ExplainedAccess = Pick<Explanation, "access" | "keyFingerprint" | "team" | "priority" | "regions">;

const NOT_GRANTED = { team: undefined, priority: undefined, regions: undefined };

/** Returns the decision of src/policy/access under a confirmed configuration. */
export function explainAccess(
    document: Document,
    rule: Rule,
    { team, keyDigest }: ExplainedCaller,
): ExplainedAccess {
    const keyFingerprint = keyDigest === undefined ? "" : fingerprintOf(keyDigest);
    const isKnown = team === undefined || teamIndexOf(document)?.byName.has(team) !== false;
    if (keyDigest === undefined && !isKnown) {
        return { ...NOT_GRANTED, access: "unknown-team", keyFingerprint };
    }
    const decision = decideAccess({
        document,
        rule,
        key: keyDigest === undefined ? { type: "none" } : { type: "digest", digest: keyDigest },
        // A call of a request of the team has the same team, priority and regions as a request with the team's key.
        parentTeam: keyDigest === undefined ? team : undefined,
        configurationAgeMs: 0,
        keyedAgeLimitMs: undefined,
    });
    if (decision.type === "refused") {
        return { ...NOT_GRANTED, access: decision.reason, keyFingerprint };
    }
    return {
        access: decision.identity === undefined ? "" : "granted",
        keyFingerprint,
        team: decision.team,
        priority: decision.priority,
        regions: decision.regions,
    };
}
