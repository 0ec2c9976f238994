/** Implements `winglock team`: the subcommands of a resource, with keys. */
import { command, flag, positional, string, type subcommands } from "cmd-ts";
import { fingerprintOf } from "../config/fingerprintof.js";
import type { KeyDigest } from "../ids/keydigest.js";
import { changeArgs } from "./changeargs.js";
import { changeKeys } from "./changekeys.js";
import { CliError } from "./clierror.js";
import { commonArgs } from "./commonargs.js";
import { exitCode } from "./exitcode.js";
import { getConfiguration } from "./getconfiguration.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";
import { resourceCommands } from "./resourcecommands.js";
import { TeamResource } from "./teamresource.js";

type TeamItem = { name: string; keyDigests: string[]; };

const resource = new TeamResource();
const name = positional({ type: string, displayName: "name" });

/** Returns the team, and the revision of the configuration that it was read from. */
const readTeam = async (client: OperatorClient, teamName: string): Promise<{ team: TeamItem; revision: number; }> => {
    const configuration = await getConfiguration(client);
    const team = resource.list(configuration).find(item => item.name === teamName);
    if (team === undefined) {
        throw new CliError(exitCode.notFound, `no team is named ${teamName}`);
    }
    return { team: team as TeamItem, revision: Number(configuration.revision) };
};

const create = command({
    name: "create",
    description: "Creates a team with a new key, which is shown once; the team must be new.",
    args: { name, ...resource.flags, ...changeArgs, ...commonArgs },
    handler: async values => {
        const client = new OperatorClient(values.daemons);
        const teams = resource.list(await getConfiguration(client));
        if (values.changeId === undefined && teams.some(team => team.name === values.name)) {
            throw new CliError(exitCode.invalid, `name: a team is named ${values.name} already`);
        }
        const { ratePerSecond, burst, priority, regions } = values;
        const fields = { ratePerSecond, burst, priority, regions };
        await changeKeys(client, { name: values.name, ...fields } as { name: string; }, values);
    },
});

const rotate = command({
    name: "rotate",
    description: "Gives a team a new key, which is shown once. The old keys stay valid until drop-key, or end at once"
        + " with --drop-old.",
    args: {
        name,
        dropOld: flag({ long: "drop-old", description: "The old keys are refused from this change on." }),
        ...changeArgs,
        ...commonArgs,
    },
    handler: async values => {
        const client = new OperatorClient(values.daemons);
        const { team, revision } = await readTeam(client, values.name);
        const keyDigests = values.dropOld ? [] : team.keyDigests;
        await changeKeys(client, { ...team, keyDigests }, { ...values, base: values.base ?? revision });
    },
});

const dropKey = command({
    name: "drop-key",
    description: "Removes the key with this fingerprint from a team. Example: winglock team drop-key readers 9f86d081",
    args: { name, fingerprint: positional({ type: string, displayName: "fingerprint" }), ...changeArgs, ...commonArgs },
    handler: async values => {
        const client = new OperatorClient(values.daemons);
        const { team, revision } = await readTeam(client, values.name);
        const keyDigests = team.keyDigests.filter(digest => fingerprintOf(digest as KeyDigest) !== values.fingerprint);
        if (keyDigests.length === team.keyDigests.length) {
            throw new CliError(exitCode.notFound, `no key of ${values.name} has the fingerprint ${values.fingerprint}`);
        }
        const change = resource.put({ ...team, keyDigests } as TeamItem);
        await makeChange(client, [change], { ...values, base: values.base ?? revision });
    },
});

/** Returns the subcommands; keys are generated here, and daemons receive their digests only. */
export function teamCommands(): ReturnType<typeof subcommands> {
    return resourceCommands(resource, { create, rotate, "drop-key": dropKey } as never);
}
