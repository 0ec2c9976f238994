/** Main program of the standalone daemon: `winglockd --settings FILE.json`. */
import { command, option, run, string } from "cmd-ts";
import { ownEnvironment } from "./ownenvironment.js";
import { serve } from "./serve.js";

const app = command({
    name: "winglockd",
    description: "Sends requests from this host to all upstreams, and serves requests for the upstream on this host.",
    args: {
        settings: option({ type: string, long: "settings", description: "The path of the settings file (JSON)." }),
    },
    handler: ({ settings }) => serve(settings, ownEnvironment),
});

void run(app, process.argv.slice(2));
