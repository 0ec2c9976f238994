/** `winglock evacuate` and `winglock readmit`. */
import { command, positional, string } from "cmd-ts";
import { changeArgs } from "./changeargs.js";
import { commonArgs } from "./commonargs.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";

/** Keeps new work from all upstreams of a data hall, or takes that back. */
export function evacuateCommand(evacuated: boolean): ReturnType<typeof command> {
    const name = evacuated ? "evacuate" : "readmit";
    const summary = evacuated ? "Sends nothing new to the upstreams of a data hall" : "Takes an evacuation back";
    return command({
        name,
        description: `${summary}. Example: winglock ${name} praha-a`,
        args: { hall: positional({ type: string, displayName: "hall" }), ...changeArgs, ...commonArgs },
        handler: async values => {
            const value = { hall: values.hall, evacuated };
            await makeChange(
                new OperatorClient(values.daemons),
                [{ change: { case: "setEvacuated", value } }],
                values,
            );
        },
    }) as unknown as ReturnType<typeof command>;
}
