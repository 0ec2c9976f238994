/** Encodes a document as the Configuration message of the schema. */
import { create } from "@bufbuild/protobuf";
import type { Document } from "../config/document.js";
import type { Rule } from "../config/rule.js";
import type { Team } from "../config/team.js";
import {
    type Configuration,
    ConfigurationSchema,
    type Rule as ProtoRule,
    RuleSchema,
    type Team as ProtoTeam,
    TeamSchema,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { protoPriority } from "./protopriority.js";
import { protoRequestKind } from "./protorequestkind.js";
import { protoResponseMode } from "./protoresponsemode.js";

const encodeRule = (rule: Rule): ProtoRule =>
    create(RuleSchema, {
        ...rule,
        priority: protoPriority[rule.priority],
        kind: rule.kind === undefined ? undefined : protoRequestKind[rule.kind],
        answer: protoResponseMode[rule.answer],
    });

const encodeTeam = (team: Team): ProtoTeam =>
    create(TeamSchema, {
        ...team,
        priority: team.priority === undefined ? undefined : protoPriority[team.priority],
    });

/** Returns the message; caller limits and the ids of changes are not part of it. */
export function encodeConfiguration(document: Document): Configuration {
    return create(ConfigurationSchema, {
        revision: BigInt(document.revision),
        services: document.services.map(service => ({ ...service })),
        upstreams: document.upstreams.map(upstream => ({ ...upstream })),
        rules: document.rules.map(encodeRule),
        teams: document.teams && { teams: document.teams.map(encodeTeam) },
        evacuatedHalls: [...document.evacuated ?? []],
    });
}
