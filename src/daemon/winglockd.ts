#!/usr/bin/env node
/** The daemon's binary: `winglockd --settings FILE.json`. */
import { command, option, run, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { ConfigError } from "../config/configerror.js";
import { parse } from "../config/parse.js";
import { Daemon } from "./daemon.js";
import { Settings } from "./settings.js";

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

const readSettings = (file: string): Settings => {
    try {
        return parse(Settings, JSON.parse(readFileSync(file, "utf8")));
    }
    catch (err) {
        const what = err instanceof ConfigError ? err.message : (err as Error).message;
        console.error(`winglock:daemon The settings in ${file} can't be used:\n${what}`);
        process.exit(EXIT_SETTINGS);
    }
};

const stopOnSignal = (daemon: Daemon): void => {
    const hurry = new AbortController();
    let stopping = false;
    const onSignal = (): void => {
        if (stopping) {
            hurry.abort();
            return;
        }
        stopping = true;
        void daemon.stop(hurry.signal).finally(() => process.exit(0));
    };
    STOP_SIGNALS.forEach(signal => process.on(signal, onSignal));
};

const serve = async (file: string): Promise<void> => {
    const settings = readSettings(file);
    const daemon = new Daemon(settings);
    try {
        await daemon.start();
    }
    catch (err) {
        console.error(`winglock:daemon The daemon can't start: ${(err as Error).message}`);
        process.exit(EXIT_FAILED);
    }
    stopOnSignal(daemon);
    console.log(JSON.stringify({ ready: true, ingress: settings.ingress, operator: settings.operator }));
};

const app = command({
    name: "winglockd",
    description: "Serves requests for the upstream on this host, and for its callers those of all upstreams.",
    args: { settings: option({ type: string, long: "settings", description: "The settings, a JSON file." }) },
    handler: ({ settings }) => serve(settings),
});

await run(app, process.argv.slice(2));
