/** Follows the settings file while the daemon runs. */
import { readFileSync } from "node:fs";
import { parse } from "../config/parse.js";
import { log } from "../log/log.js";
import { logSink } from "../log/logsink.js";
import { Ticker } from "../time/ticker.js";
import { changedFields } from "./changedfields.js";
import { Settings } from "./settings.js";

const logger = log("daemon");

/** The file may change without a signal; milliseconds. */
const POLL_INTERVAL_MS = 5000;
/** What a reload can change; the rest applies from the next start on. */
const RELOADABLE_FIELDS: ReadonlySet<string> = new Set(["log"]);

/** Settings that can't be used change nothing. */
export class SettingsFile {
    #lastText: string;
    readonly #ticker = new Ticker(POLL_INTERVAL_MS, () => this.reload());

    constructor(private readonly file: string, private current: Settings) {
        this.#lastText = readFileSync(file, "utf8");
    }

    start(): void {
        this.#ticker.start();
    }

    /** Reads the file again and does nothing when it is as it was. */
    reload(): void {
        try {
            const text = readFileSync(this.file, "utf8");
            if (text !== this.#lastText) {
                this.#lastText = text;
                this.#apply(parse(Settings, JSON.parse(text)));
            }
        }
        catch (err) {
            logger.warn("The settings can't be used; those in force stay.", err, { file: this.file });
        }
    }

    #apply(settings: Settings): void {
        const changedNames = changedFields(this.current, settings);
        this.current = settings;
        logSink.configure(settings.log.level, settings.log.linesPerSecond);
        logger.change("The settings are read again.", {
            inForce: changedNames.filter(field => RELOADABLE_FIELDS.has(field)),
            fromTheNextStart: changedNames.filter(field => !RELOADABLE_FIELDS.has(field)),
        });
    }
}
