/** `winglock export`. */
import { command } from "cmd-ts";
import { commonArgs } from "./commonargs.js";
import { getConfiguration } from "./getconfiguration.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { RuleNoun } from "./rulenoun.js";
import { ServiceNoun } from "./servicenoun.js";
import { UpstreamNoun } from "./upstreamnoun.js";

/** Prints the configuration as `apply` reads it. */
export const exportCommand = command({
    name: "export",
    description: "Prints the whole configuration, to edit and apply. Example: winglock export > mesh.json",
    args: commonArgs,
    handler: async ({ daemons, json }) => {
        const configuration = await getConfiguration(new OperatorClient(daemons));
        const file = {
            revision: Number(configuration.revision),
            services: new ServiceNoun().list(configuration),
            upstreams: new UpstreamNoun().list(configuration),
            rules: new RuleNoun().list(configuration),
        };
        output(json, file, JSON.stringify(file, undefined, 4));
    },
});
