/** Implements `winglock status`. */
import { command, flag } from "cmd-ts";
import { commonArgs } from "./commonargs.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { statusTable } from "./statustable.js";

/** Shows the state, load and configuration revision of the upstreams. */
export const statusCommand = command({
    name: "status",
    description: "Shows each upstream's state, load and revision. Example: winglock status --json",
    args: {
        all: flag({ long: "all", description: "Shows each upstream, also if there are many." }),
        ...commonArgs,
    },
    handler: async ({ all, daemons, json }) => {
        const status = await new OperatorClient(daemons).call(operator => operator.getStatus({}));
        output(json, status, statusTable(status, all));
    },
});
