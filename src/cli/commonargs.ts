/** Defines the flags of every subcommand that calls a daemon. */
import { array, flag, multioption, string } from "cmd-ts";

const DEFAULT_DAEMON = "127.0.0.1:7090";

const daemonsFromEnvironment = (): string[] =>
    (process.env["WINGLOCK_DAEMONS"] ?? DEFAULT_DAEMON).split(",").map(daemon => daemon.trim());

/** `--daemon` may be repeated; the first daemon that responds is used. */
export const commonArgs = {
    daemons: multioption({
        type: array(string),
        long: "daemon",
        short: "d",
        description: "A daemon's operator address, IP:PORT; may be repeated [env: WINGLOCK_DAEMONS]",
        defaultValue: daemonsFromEnvironment,
    }),
    json: flag({ long: "json", description: "Print one line of JSON." }),
};
