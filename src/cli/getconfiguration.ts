/** Fetches the configuration from a daemon. */
import type { Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";
import type { OperatorClient } from "./operatorclient.js";

/** Returns the newest configuration that the daemon has; throws a CliError if it sends none. */
export async function getConfiguration(client: OperatorClient): Promise<Configuration> {
    const { configuration } = await client.call(operator => operator.getConfiguration({}));
    if (configuration === undefined) {
        throw new CliError(exitCode.failed, "The daemon sent no configuration.");
    }
    return configuration;
}
