/** Implements `winglock export`. */
import { command } from "cmd-ts";
import { commonArgs } from "./commonargs.js";
import { getConfiguration } from "./getconfiguration.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { RuleResource } from "./ruleresource.js";
import { ServiceResource } from "./serviceresource.js";
import { TeamResource } from "./teamresource.js";
import { UpstreamResource } from "./upstreamresource.js";

/** Prints the configuration in the format that `winglock apply` reads. */
export const exportCommand = command({
    name: "export",
    description: "Prints the whole configuration, to edit and apply. Example: winglock export > mesh.json",
    args: commonArgs,
    handler: async ({ daemons, json }) => {
        const configuration = await getConfiguration(new OperatorClient(daemons));
        const file = {
            revision: Number(configuration.revision),
            services: new ServiceResource().list(configuration),
            upstreams: new UpstreamResource().list(configuration),
            rules: new RuleResource().list(configuration),
            ...configuration.teams !== undefined && { teams: new TeamResource().list(configuration) },
        };
        output(json, file, JSON.stringify(file, undefined, 4));
    },
});
