/** Defines the flags of the subcommands that change the configuration. */
import { flag, number, option, optional, string } from "cmd-ts";

/** Flags for a dry run, for retrying a change under its id, and for detecting a conflict with a newer revision. */
export const changeArgs = {
    dryRun: flag({ long: "dry-run", description: "Print the difference and change nothing." }),
    changeId: option({
        type: optional(string),
        long: "change-id",
        description: "The change's id, to retry after an unknown outcome.",
    }),
    base: option({
        type: optional(number),
        long: "base",
        description: "The revision that the change is based on; a newer one is a conflict.",
    }),
};
