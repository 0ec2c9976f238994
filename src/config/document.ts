/** Defines the configuration, which is stored as one value in the platform's store. */
import { z } from "zod";
import { HallName } from "../ids/hallname.js";
import { CallerLimits } from "./callerlimits.js";
import { ChangeRecord } from "./changerecord.js";
import { Rule } from "./rule.js";
import { Service } from "./service.js";
import { Team } from "./team.js";
import { Upstream } from "./upstream.js";

/** Limits the size of the document. */
const MAX_HALLS = 64;
/** Limits the size of the document. */
const MAX_TEAMS = 10_000;

const Document = z.strictObject({
    revision: z.int().min(0),
    changes: z.array(ChangeRecord),
    services: z.array(Service),
    upstreams: z.array(Upstream),
    rules: z.array(Rule),
    limits: CallerLimits.optional(),
    /** If present, requests to rules that are not public need the key of a team. */
    teams: z.array(Team).max(MAX_TEAMS).optional(),
    /** Halls whose upstreams are sent no new requests. */
    evacuated: z.array(HallName).max(MAX_HALLS).optional(),
});
type Document = z.infer<typeof Document>;

/** Includes the ids of the latest changes, by which a retried change is recognized. */
export { Document };
