/** The daemon's binary: `winglockd --settings FILE.json`. */
import { command, option, run, string } from "cmd-ts";
import { ownEnvironment } from "./ownenvironment.js";
import { serve } from "./serve.js";

const app = command({
    name: "winglockd",
    description: "Serves requests for the upstream on this host, and for its callers those of all upstreams.",
    args: { settings: option({ type: string, long: "settings", description: "The settings, a JSON file." }) },
    handler: ({ settings }) => serve(settings, ownEnvironment),
});

void run(app, process.argv.slice(2));
