/** Implements `winglock drain` and `winglock undrain`. */
import { command, positional, string } from "cmd-ts";
import { changeArgs } from "./changeargs.js";
import { commonArgs } from "./commonargs.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";

/** Closes an upstream to new requests, or reopens it. */
export function drainCommand(draining: boolean): ReturnType<typeof command> {
    const name = draining ? "drain" : "undrain";
    return command({
        name,
        description: `${
            draining ? "Closes" : "Reopens"
        } an upstream to new requests. Example: winglock ${name} splits-1`,
        args: { upstream: positional({ type: string, displayName: "upstream" }), ...changeArgs, ...commonArgs },
        handler: async values => {
            const value = { upstream: values.upstream, draining };
            await makeChange(
                new OperatorClient(values.daemons),
                [{ change: { case: "setDraining", value } }],
                values,
            );
        },
    }) as unknown as ReturnType<typeof command>;
}
