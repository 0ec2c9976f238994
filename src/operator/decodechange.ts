/** Decodes and validates changes that operators send. */
import { z } from "zod";
import type { Change } from "../config/change.js";
import { ConfigError } from "../config/configerror.js";
import { parse } from "../config/parse.js";
import { Rule } from "../config/rule.js";
import { Service } from "../config/service.js";
import { Team } from "../config/team.js";
import { Upstream } from "../config/upstream.js";
import type {
    Change as ProtoChange,
    Configuration,
    Rule as ProtoRule,
    Service as ProtoService,
    Team as ProtoTeam,
    Upstream as ProtoUpstream,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { HallName } from "../ids/hallname.js";
import { enumKeyOf } from "./enumkeyof.js";
import { protoPriority } from "./protopriority.js";
import { protoRequestKind } from "./protorequestkind.js";
import { protoResponseMode } from "./protoresponsemode.js";

/** In the schema, a number or string with its zero value means that the field is not set. */
const undefinedIfZero = <Value>(value: Value): Value | undefined => value ? value : undefined;

const undefinedIfEmpty = <Item>(list: Item[]): Item[] | undefined => list.length > 0 ? list : undefined;

const decodeService = (service: ProtoService): Service => {
    const { name, bufferBytes, maxWaitMs, retryRatio, coldPerSecond, coldStartMs } = service;
    return parse(Service, { name, bufferBytes, maxWaitMs, retryRatio, coldPerSecond, coldStartMs });
};

const decodeUpstream = (upstream: ProtoUpstream): Upstream => {
    const { name, service, host, address, gate, hall, region, slots, connections, draining } = upstream;
    const fields = { name, service, host, address, gate, hall, region, slots, draining };
    return parse(Upstream, { ...fields, connections: undefinedIfZero(connections) });
};

const decodeRule = (rule: ProtoRule): Rule =>
    parse(Rule, {
        name: rule.name,
        host: rule.host,
        pathPrefix: rule.pathPrefix,
        methods: rule.methods,
        service: rule.service,
        priority: enumKeyOf(protoPriority, rule.priority),
        tenant: undefinedIfZero(rule.tenant),
        kind: enumKeyOf(protoRequestKind, rule.kind),
        timeLimitMs: undefinedIfZero(rule.timeLimitMs),
        answer: enumKeyOf(protoResponseMode, rule.answer),
        public: undefinedIfZero(rule.public),
        regions: undefinedIfEmpty(rule.regions),
    });

/** The errors show no digests: a caller that mistakes keys for digests sends the keys. */
const decodeTeam = (team: ProtoTeam): Team => {
    const { name, keyDigests, ratePerSecond, burst, priority, regions } = team;
    return parse(Team, {
        name,
        keyDigests,
        ratePerSecond,
        burst,
        priority: enumKeyOf(protoPriority, priority),
        regions: undefinedIfEmpty(regions),
    }, path => path[0] !== "keyDigests");
};

const decodeContent = (configuration: Configuration): Extract<Change, { type: "replace"; }>["content"] => ({
    services: configuration.services.map(decodeService),
    upstreams: configuration.upstreams.map(decodeUpstream),
    rules: configuration.rules.map(decodeRule),
    teams: configuration.teams?.teams.map(decodeTeam),
});

/** Returns the change. Throws a ConfigError that names each invalid field. */
export function decodeChange({ change }: ProtoChange): Change {
    switch (change.case) {
        case "putService":
            return { type: "putService", service: decodeService(change.value) };
        case "putUpstream":
            return { type: "putUpstream", upstream: decodeUpstream(change.value) };
        case "putRule":
            return { type: "putRule", rule: decodeRule(change.value) };
        case "putTeam":
            return { type: "putTeam", team: decodeTeam(change.value) };
        case "deleteTeam":
        case "deleteService":
        case "deleteUpstream":
        case "deleteRule":
            return { type: change.case, name: change.value };
        case "setDraining":
            return { type: "setDraining", name: change.value.upstream, draining: change.value.draining };
        case "setEvacuated": {
            const { hall, evacuated } = change.value;
            return { type: "setEvacuated", hall: parse(z.object({ hall: HallName }), { hall }).hall, evacuated };
        }
        case "replace":
            return { type: "replace", content: decodeContent(change.value) };
        default:
            throw new ConfigError([{ code: "required", path: "changes", message: "the change is empty" }]);
    }
}
