/** Defines the difference between two documents that daemons send to their peers. */
import { z } from "zod";
import { HallName } from "../ids/hallname.js";
import { CallerLimits } from "./callerlimits.js";
import { ChangeRecord } from "./changerecord.js";
import { Rule } from "./rule.js";
import { Service } from "./service.js";
import { Team } from "./team.js";
import { Upstream } from "./upstream.js";

const Patch = z.strictObject({
    from: z.int().min(0),
    to: z.int().min(1),
    changes: z.array(ChangeRecord),
    services: z.array(Service),
    upstreams: z.array(Upstream),
    rules: z.array(Rule),
    limits: CallerLimits.optional(),
    /** The changed teams; undefined if the document that results has no teams. */
    teams: z.array(Team).optional(),
    evacuated: z.array(HallName).optional(),
    deletedServices: z.array(z.string()),
    deletedUpstreams: z.array(z.string()),
    deletedRules: z.array(z.string()),
    deletedTeams: z.array(z.string()).optional(),
});
type Patch = z.infer<typeof Patch>;

/** Turns revision `from` into revision `to`: lists the items to put and the names to delete. */
export { Patch };
