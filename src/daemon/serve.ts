/** Runs a daemon as the main program of a process, and handles its signals. */
import { readFileSync } from "node:fs";
import { ConfigError } from "../config/configerror.js";
import { parse } from "../config/parse.js";
import { log } from "../log/log.js";
import { logSink } from "../log/logsink.js";
import type { Metrics } from "../metrics/metrics.js";
import { Daemon } from "./daemon.js";
import type { Environment } from "./environment.js";
import { Settings } from "./settings.js";
import { SettingsFile } from "./settingsfile.js";

const logger = log("daemon");

/** Exit code if the daemon can't start, for example because an address is in use, or if its stop fails. */
const EXIT_FAILED = 1;
/** Exit code if the settings are missing or invalid. */
const EXIT_SETTINGS = 2;
/** Sent from a terminal. A supervisor that wants to end a daemon at once sends SIGKILL. */
const INTERRUPT = "SIGINT";
const STOP_SIGNALS = ["SIGTERM", INTERRUPT] as const;

const readSettings = (file: string): Settings => {
    try {
        return parse(Settings, JSON.parse(readFileSync(file, "utf8")));
    }
    catch (err) {
        const reason = err instanceof ConfigError ? err.message : (err as Error).message;
        console.error(`winglock:daemon The settings in ${file} can't be used:\n${reason}`);
        process.exit(EXIT_SETTINGS);
    }
};

const stopAndExit = async (daemon: Daemon, forceStop: AbortSignal): Promise<void> => {
    let exitCode = 0;
    try {
        await daemon.stop(forceStop);
    }
    catch (err) {
        logger.warn("The stop has failed; the daemon ends at once.", err);
        exitCode = EXIT_FAILED;
    }
    await logSink.end();
    process.exit(exitCode);
};

const stopOnSignal = (daemon: Daemon): void => {
    const forceStop = new AbortController();
    let isStopping = false;
    const onSignal = (signal: NodeJS.Signals): void => {
        logger.change("The daemon has received a signal.", { signal, isStopping });
        if (!isStopping) {
            isStopping = true;
            void stopAndExit(daemon, forceStop.signal);
        }
        else if (signal === INTERRUPT) {
            forceStop.abort();
        }
    };
    STOP_SIGNALS.forEach(signal => process.on(signal, onSignal));
};

const reloadOnSignal = (settings: SettingsFile): void => {
    process.on("SIGHUP", () => settings.reload());
    settings.start();
};

/** Reads the settings and starts a daemon. The first signal stops it gracefully; an interrupt after it, at once. */
export async function serve(
    file: string,
    createEnvironment: (settings: Settings, metrics: Metrics) => Environment,
): Promise<void> {
    const settings = readSettings(file);
    logSink.configure(settings.log.level, settings.log.linesPerSecond);
    const daemon = new Daemon(settings, createEnvironment);
    stopOnSignal(daemon);
    reloadOnSignal(new SettingsFile(file, settings));
    try {
        await daemon.start();
    }
    catch (err) {
        console.error(`winglock:daemon The daemon can't start: ${(err as Error).message}`);
        process.exit(EXIT_FAILED);
    }
}
