/** Implements `winglock explain`. */
import { command, option, optional, positional, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { digestKey } from "../config/digestkey.js";
import type { ExplainRequestResponse } from "../gen/winglock/operator/v1/operator_pb.js";
import { enumKeyOf } from "../operator/enumkeyof.js";
import { protoPriority } from "../operator/protopriority.js";
import { protoRequestKind } from "../operator/protorequestkind.js";
import { CliError } from "./clierror.js";
import { commonArgs } from "./commonargs.js";
import { exitCode } from "./exitcode.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { table } from "./table.js";

/** Returns no line for what the configuration does not restrict. */
const accessLines = ({ access, keyFingerprint, regions, noRegion }: ExplainRequestResponse): string[] => [
    ...access === "" ? [] : [`access    ${access}${keyFingerprint === "" ? "" : ` (key ${keyFingerprint})`}`],
    ...regions.length > 0 || noRegion ? [`regions   ${regions.join(" ") || "none"}`] : [],
];

const formatExplanation = (res: ExplainRequestResponse): string => {
    const rows = res.candidates.map(candidate => [
        candidate.upstream,
        candidate.eligible ? "yes" : `no: ${candidate.reason}`,
        candidate.expectedMs.toFixed(1),
    ]);
    return [
        `rule      ${res.rule}`,
        `service   ${res.service}`,
        `class     ${enumKeyOf(protoPriority, res.priority) ?? "-"}`,
        `kind      ${enumKeyOf(protoRequestKind, res.kind)} (${res.kindReason})`,
        `tenant    ${res.tenant}`,
        ...accessLines(res),
        `limit     ${res.timeLimitMs} ms`,
        table(["upstream", "eligible", "expected ms"], rows),
    ].join("\n");
};

/** Shows how the daemon would handle a request, without sending it. */
export const explainCommand = command({
    name: "explain",
    description:
        "Shows the rule, class, kind and upstreams of a request. Example: winglock explain POST http://behoun/fees",
    args: {
        method: positional({ type: string, displayName: "method" }),
        url: positional({ type: string, displayName: "url" }),
        team: option({ type: optional(string), long: "team", description: "The team that sends the request." }),
        key: option({
            type: optional(string),
            long: "key",
            description: "The key of the request, or - to read it from standard input; only its digest is sent.",
        }),
        ...commonArgs,
    },
    handler: async ({ method, url, team, key, daemons, json }) => {
        const keyDigest = key === undefined ? undefined : digestKey(key === "-" ? readFileSync(0, "utf8").trim() : key);
        const res = await new OperatorClient(daemons).call(operator =>
            operator.explainRequest({ method, url, team, keyDigest })
        );
        if (res.rule === "") {
            throw new CliError(exitCode.notFound, `no rule matches ${method} ${url}; it would be refused with 404`);
        }
        output(json, res, formatExplanation(res));
    },
});
