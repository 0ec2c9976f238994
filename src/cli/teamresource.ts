/** Defines the resource type of `winglock team`. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { array, multioption, number, oneOf, option, optional, string } from "cmd-ts";
import { fingerprintOf } from "../config/fingerprintof.js";
import { Priority } from "../config/priority.js";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import type { KeyDigest } from "../ids/keydigest.js";
import { enumKeyOf } from "../operator/enumkeyof.js";
import { protoPriority } from "../operator/protopriority.js";
import { Resource } from "./resource.js";
import { toPlainItem } from "./toplainitem.js";

type TeamItem = { name: string; priority?: Priority; keyDigests?: string[]; };

/** Teams, whose keys grant access to rules that are not public. */
export class TeamResource extends Resource {
    readonly name = "team";
    readonly columns = ["name", "keys", "ratePerSecond", "burst", "priority", "regions"];
    readonly example = "winglock team create readers --rate-per-second 50 --burst 50";
    readonly flags = {
        ratePerSecond: option({
            type: optional(number),
            long: "rate-per-second",
            description: "Requests a second over all daemons; 0 for no limit.",
        }),
        burst: option({ type: optional(number), long: "burst", description: "Requests at once beyond the rate." }),
        priority: option({
            type: optional(oneOf(Priority.options)),
            long: "priority",
            description: "The priority class, which precedes that of the rule.",
        }),
        regions: multioption({
            type: array(string),
            long: "region",
            description: "A region in which the requests may be served; may be repeated; all regions if omitted.",
        }),
    };

    list(configuration: Configuration): ReturnType<Resource["list"]> {
        return (configuration.teams?.teams ?? []).map(team => ({
            ...toPlainItem(team),
            priority: enumKeyOf(protoPriority, team.priority),
        }));
    }

    /** Shows fingerprints in place of digests. */
    override display(item: ReturnType<Resource["list"]>[number]): ReturnType<Resource["list"]>[number] {
        const { keyDigests = [], ...fields } = item as TeamItem;
        return { ...fields, keys: keyDigests.map(digest => fingerprintOf(digest as KeyDigest)) };
    }

    put(item: { name: string; }): MessageInitShape<typeof ChangeSchema> {
        const { priority, ...fields } = item as TeamItem;
        return { change: { case: "putTeam", value: { ...fields, priority: priority && protoPriority[priority] } } };
    }

    remove(name: string): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "deleteTeam", value: name } };
    }
}
