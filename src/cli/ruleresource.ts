/** Defines the resource type of `winglock rule`. */
import type { MessageInitShape } from "@bufbuild/protobuf";
import { array, multioption, number, oneOf, option, optional, string } from "cmd-ts";
import { Priority } from "../config/priority.js";
import { ResponseMode } from "../config/responsemode.js";
import { RuleKind } from "../config/rulekind.js";
import type { ChangeSchema, Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { enumKeyOf } from "../operator/enumkeyof.js";
import { protoPriority } from "../operator/protopriority.js";
import { protoRequestKind } from "../operator/protorequestkind.js";
import { protoResponseMode } from "../operator/protoresponsemode.js";
import { Resource } from "./resource.js";
import { toPlainItem } from "./toplainitem.js";

type RuleItem = {
    name: string;
    kind?: RuleKind;
    priority?: Priority;
    answer?: ResponseMode;
    public?: boolean | string;
};

/** Rules, which define how the requests that they match are handled. */
export class RuleResource extends Resource {
    readonly name = "rule";
    readonly columns = [
        "name",
        "host",
        "pathPrefix",
        "methods",
        "service",
        "priority",
        "tenant",
        "kind",
        "timeLimitMs",
    ];
    override readonly optionalColumns = ["public", "regions"];
    readonly example = "winglock rule create pay-fee --path-prefix /fees --methods POST --service entries --kind once";
    readonly flags = {
        host: option({ type: optional(string), long: "host", description: "The host name; empty matches all." }),
        pathPrefix: option({ type: optional(string), long: "path-prefix", description: "The prefix of the path." }),
        methods: multioption({ type: array(string), long: "methods", description: "A method; may be repeated." }),
        service: option({
            type: optional(string),
            long: "service",
            description: "The service that the requests are sent to.",
        }),
        priority: option({
            type: optional(oneOf(Priority.options)),
            long: "priority",
            description: "The priority class.",
        }),
        tenant: option({
            type: optional(string),
            long: "tenant",
            description: "The team that the requests belong to.",
        }),
        kind: option({
            type: optional(oneOf(RuleKind.options)),
            long: "kind",
            description: "Whether a request may run again.",
        }),
        timeLimitMs: option({
            type: optional(number),
            long: "time-limit-ms",
            description: "Time limit of a request, in ms.",
        }),
        answer: option({
            type: optional(oneOf(ResponseMode.options)),
            long: "answer",
            description: "Whole or streamed response.",
        }),
        public: option({
            type: optional(oneOf(["true", "false"])),
            long: "public",
            description: "Whether the requests need no key; true or false.",
        }),
        regions: multioption({
            type: array(string),
            long: "region",
            description: "A region in which the requests may be served; may be repeated; all regions if omitted.",
        }),
    };

    list(configuration: Configuration): ReturnType<Resource["list"]> {
        return configuration.rules.map(rule => ({
            ...toPlainItem(rule),
            kind: enumKeyOf(protoRequestKind, rule.kind),
            priority: enumKeyOf(protoPriority, rule.priority),
            answer: enumKeyOf(protoResponseMode, rule.answer),
        }));
    }

    put(item: { name: string; }): MessageInitShape<typeof ChangeSchema> {
        const { kind, priority, answer, public: isPublic, ...fields } = item as RuleItem;
        const value = {
            ...fields,
            kind: kind && protoRequestKind[kind],
            priority: priority && protoPriority[priority],
            answer: answer && protoResponseMode[answer],
            public: String(isPublic) === "true",
        };
        return { change: { case: "putRule", value } };
    }

    remove(name: string): MessageInitShape<typeof ChangeSchema> {
        return { change: { case: "deleteRule", value: name } };
    }
}
