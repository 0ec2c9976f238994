/** Implements `winglock resolve`. */
import { command, positional, string } from "cmd-ts";
import { ChangeOutcome } from "../gen/winglock/operator/v1/operator_pb.js";
import { CliError } from "./clierror.js";
import { commonArgs } from "./commonargs.js";
import { exitCode } from "./exitcode.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";

/** Shows whether a change has taken effect. */
export const resolveCommand = command({
    name: "resolve",
    description: "Shows whether a change has taken effect. Example: winglock resolve CHANGE-ID",
    args: { changeId: positional({ type: string, displayName: "change-id" }), ...commonArgs },
    handler: async ({ changeId, daemons, json }) => {
        const { outcome, revision } = await new OperatorClient(daemons).call(operator =>
            operator.resolveChange({ changeId })
        );
        if (outcome === ChangeOutcome.UNKNOWN) {
            throw new CliError(exitCode.unknown, "unknown: the store does not respond");
        }
        if (outcome !== ChangeOutcome.ACCEPTED) {
            throw new CliError(exitCode.notFound, "not applied; it is safe to retry with the same change id");
        }
        output(json, { changeId, revision }, `accepted as revision ${revision}`);
    },
});
