/** Holds the teams of a document in the form in which requests look them up. */
import type { Team } from "../../config/team.js";
import type { KeyDigest } from "../../ids/keydigest.js";
import type { TeamName } from "../../ids/teamname.js";

/** Built once for each document; see teamIndexOf. */
export class TeamIndex {
    readonly byKey: ReadonlyMap<KeyDigest, Team>;
    readonly byName: ReadonlyMap<TeamName, Team>;

    constructor(teams: readonly Team[]) {
        this.byKey = new Map(teams.flatMap(team => team.keyDigests.map(digest => [digest, team] as const)));
        this.byName = new Map(teams.map(team => [team.name, team]));
    }
}
