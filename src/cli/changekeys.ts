/** Makes a change that gives a team a new key, and prints the key. */
import { fingerprintOf } from "../config/fingerprintof.js";
import { CliError } from "./clierror.js";
import { createTeamKey } from "./createteamkey.js";
import { exitCode } from "./exitcode.js";
import { getConfiguration } from "./getconfiguration.js";
import { makeChange } from "./makechange.js";
import type { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { TeamResource } from "./teamresource.js";

type TeamItem = { name: string; keyDigests?: string[]; };

const resource = new TeamResource();

/** True if the team has the key in the configuration that the daemon applies. */
const hasKey = async (client: OperatorClient, name: string, digest: string): Promise<boolean> => {
    const team: TeamItem | undefined = resource.list(await getConfiguration(client)).find(item => item.name === name);
    return team?.keyDigests?.includes(digest) === true;
};

/**
 * Makes the change of the team with a new key in addition to its `keyDigests`. The key is printed once, after the change
 * was accepted, or with the error if its outcome is unknown. A retry under the id of a change that took effect has no
 * effect, so its key is not printed.
 */
export async function changeKeys(
    client: OperatorClient,
    team: TeamItem,
    flags: Parameters<typeof makeChange>[2],
): Promise<void> {
    const { key, digest } = createTeamKey();
    const change = resource.put({ ...team, keyDigests: [...team.keyDigests ?? [], digest] } as TeamItem);
    try {
        await makeChange(client, [change], flags);
    }
    catch (err) {
        if (err instanceof CliError && err.code === exitCode.unknown) {
            throw new CliError(err.code, `${err.message}\nIf the change took effect, the key is ${key}`);
        }
        throw err;
    }
    if (flags.dryRun) {
        return;
    }
    if (flags.changeId !== undefined && !await hasKey(client, team.name, digest)) {
        throw new CliError(
            exitCode.failed,
            "The change took effect at an earlier attempt, whose key was shown then; rotate the key if it is lost.",
        );
    }
    const fingerprint = fingerprintOf(digest);
    output(flags.json, { key, fingerprint }, `key (shown only now): ${key}\nfingerprint: ${fingerprint}`);
}
