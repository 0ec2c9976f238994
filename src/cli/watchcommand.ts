/** Implements `winglock watch`. */
import { command, number, option } from "cmd-ts";
import { setTimeout } from "node:timers/promises";
import { commonArgs } from "./commonargs.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { statusTable } from "./statustable.js";

const MS_PER_SECOND = 1000;

/** Shows the status repeatedly. */
export const watchCommand = command({
    name: "watch",
    description: "Shows the status repeatedly. Example: winglock watch --every 2 --count 10",
    args: {
        every: option({ type: number, long: "every", defaultValue: () => 1, description: "Seconds between outputs." }),
        count: option({ type: number, long: "count", defaultValue: () => Infinity, description: "Number of outputs." }),
        ...commonArgs,
    },
    handler: async ({ daemons, json, every, count }) => {
        const client = new OperatorClient(daemons);
        for (let shown = 0; shown < count; shown++) {
            if (shown > 0) {
                await setTimeout(every * MS_PER_SECOND);
            }
            const status = await client.call(operator => operator.getStatus({}));
            output(json, status, `${statusTable(status)}\n`);
        }
    },
});
