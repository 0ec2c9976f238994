/** Reads the configuration. */
import type { Configuration } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";
import type { OperatorClient } from "./operatorclient.js";

/** The newest that the daemon holds. */
export async function getConfiguration(client: OperatorClient): Promise<Configuration> {
    const { configuration } = await client.call(operator => operator.getConfiguration({}));
    if (configuration === undefined) {
        throw new CliError(exitCode.failed, "The daemon sent no configuration.");
    }
    return configuration;
}
