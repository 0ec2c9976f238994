/** Flags of the subcommands that change something. */
import { flag, number, option, optional, string } from "cmd-ts";

/** A change may be tried out, and asked for again under its id. */
export const changeArgs = {
    dryRun: flag({ long: "dry-run", description: "Print the difference and change nothing." }),
    changeId: option({
        type: optional(string),
        long: "change-id",
        description: "The change's id, to ask again after an unknown outcome.",
    }),
    base: option({
        type: optional(number),
        long: "base",
        description: "The revision that you looked at; the change is a conflict if there is a newer one.",
    }),
};
