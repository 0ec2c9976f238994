/** Implements `winglock evacuate` and `winglock readmit`. */
import { command, positional, string } from "cmd-ts";
import { changeArgs } from "./changeargs.js";
import { commonArgs } from "./commonargs.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";

/** Stops new requests to all upstreams of a data hall, or ends the evacuation. */
export function evacuateCommand(evacuated: boolean): ReturnType<typeof command> {
    const name = evacuated ? "evacuate" : "readmit";
    const summary = evacuated
        ? "Stops new requests to the upstreams of a data hall"
        : "Ends the evacuation of a data hall";
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
