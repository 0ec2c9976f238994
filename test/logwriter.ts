/** A process that logs more than its standard output takes without a reader; run by `logreader.test.ts`. */
import { logSink } from "../src/log/logsink.js";

const TICK_INTERVAL_MS = 10;
const LINES_PER_TICK = 200;
const RUN_DURATION_MS = 1500;
const LINES_PER_SECOND = 1_000_000;

logSink.configure("info", LINES_PER_SECOND);
const startedAt = performance.now();
let lines = 0;
const timer = setInterval(() => {
    for (let index = 0; index < LINES_PER_TICK; index++) {
        logSink.write("info", "decision", "daemon", "A line.", { text: "x".repeat(200) });
        lines += 1;
    }
    if (performance.now() - startedAt > RUN_DURATION_MS) {
        clearInterval(timer);
        console.error(`wrote ${lines}`);
        void logSink.end().finally(() => process.exit(0));
    }
}, TICK_INTERVAL_MS);
