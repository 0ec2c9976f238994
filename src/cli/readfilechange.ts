/** Reads a whole configuration from a file for `winglock apply` and `winglock diff`. */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { ConfigError } from "../config/configerror.js";
import { parse } from "../config/parse.js";
import { Rule } from "../config/rule.js";
import { Service } from "../config/service.js";
import { Team } from "../config/team.js";
import { Upstream } from "../config/upstream.js";
import { type ChangeSchema, ConfigurationSchema } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";
import type { Resource } from "./resource.js";
import { RuleResource } from "./ruleresource.js";
import { TeamResource } from "./teamresource.js";

/** The format that `winglock export` prints; `revision` is the one that the file was exported from. */
const ConfigurationFile = z.strictObject({
    revision: z.int().min(0).optional(),
    services: z.array(Service),
    upstreams: z.array(Upstream),
    rules: z.array(Rule),
    /** Keeps the present teams if omitted. */
    teams: z.array(Team).optional(),
});

type FileChange = {
    readonly revision: number | undefined;
    readonly change: MessageInitShape<typeof ChangeSchema>;
};

const readFile = (file: string): z.infer<typeof ConfigurationFile> => {
    try {
        return parse(ConfigurationFile, JSON.parse(readFileSync(file, "utf8")));
    }
    catch (err) {
        const reason = err instanceof ConfigError ? `\n${err.message}` : ` ${(err as Error).message}`;
        throw new CliError(exitCode.invalid, `${file} can't be used:${reason}`);
    }
};

/** Returns the change that replaces the whole configuration; throws a CliError that names the invalid field. */
export function readFileChange(file: string): FileChange {
    const { revision, services, upstreams, rules, teams } = readFile(file);
    const toMessage = (resource: Resource, item: { name: string; }): object =>
        (resource.put(item).change as { value: object; }).value;
    const ruleResource = new RuleResource();
    const teamResource = new TeamResource();
    const value = create(ConfigurationSchema, {
        services,
        upstreams,
        rules: rules.map(rule => toMessage(ruleResource, rule)),
        teams: teams && { teams: teams.map(team => toMessage(teamResource, team)) },
    });
    return { revision, change: { change: { case: "replace", value } } };
}
