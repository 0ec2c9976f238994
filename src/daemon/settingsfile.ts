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
const LOOK_EVERY_MS = 5000;
/** What a reload can change; the rest applies from the next start on. */
const RELOADED: ReadonlySet<string> = new Set(["log"]);

/** Settings that can't be used change nothing. */
export class SettingsFile {
    #text: string;
    readonly #ticker = new Ticker(LOOK_EVERY_MS, () => this.reload());

    constructor(private readonly file: string, private current: Settings) {
        this.#text = readFileSync(file, "utf8");
    }

    start(): void {
        this.#ticker.start();
    }

    /** Reads the file again and does nothing when it is as it was. */
    reload(): void {
        try {
            const text = readFileSync(this.file, "utf8");
            if (text !== this.#text) {
                this.#text = text;
                this.#apply(parse(Settings, JSON.parse(text)));
            }
        }
        catch (err) {
            logger.warn("The settings can't be used; those in force stay.", err, { file: this.file });
        }
    }

    #apply(settings: Settings): void {
        const changed = changedFields(this.current, settings);
        this.current = settings;
        logSink.configure(settings.log.level, settings.log.linesPerSecond);
        logger.change("The settings are read again.", {
            inForce: changed.filter(field => RELOADED.has(field)),
            fromTheNextStart: changed.filter(field => !RELOADED.has(field)),
        });
    }
}
