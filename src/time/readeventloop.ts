/** Reads how the event loop and the process have used their time, from Node.js. */
import { performance } from "node:perf_hooks";
import type { EventLoopReading } from "./eventloopreading.js";

const US_PER_MS = 1000;

/** `now` is the time on the daemon's clock. */
export function readEventLoop(now: number): EventLoopReading {
    const { user, system } = process.cpuUsage();
    // Node.js before 20.18 does not count turns and events.
    const { uvMetricsInfo }: Partial<typeof performance.nodeTiming> = performance.nodeTiming;
    return {
        at: now,
        waitedMs: performance.eventLoopUtilization().idle,
        cpuMs: (user + system) / US_PER_MS,
        turns: uvMetricsInfo?.loopCount ?? 0,
        events: uvMetricsInfo?.events ?? 0,
    };
}
