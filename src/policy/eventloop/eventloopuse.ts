/** Computes what the event loop did between two readings. */
import type { EventLoopReading } from "../../time/eventloopreading.js";

/** Times in milliseconds; see EventLoopReading for the other fields. */
type EventLoopUse = Omit<EventLoopReading, "at"> & { readonly elapsedMs: number; };

export function eventLoopUse(from: EventLoopReading, to: EventLoopReading): EventLoopUse {
    return {
        elapsedMs: to.at - from.at,
        waitedMs: to.waitedMs - from.waitedMs,
        cpuMs: to.cpuMs - from.cpuMs,
        turns: to.turns - from.turns,
        events: to.events - from.events,
    };
}
