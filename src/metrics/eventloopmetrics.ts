/** Defines the metrics of the event loop. */
import { Counter, Histogram, type Registry } from "prom-client";
import type { EventLoopReading } from "../time/eventloopreading.js";
import { latencyBucketsS } from "./latencybuckets.js";

const MS_PER_SECOND = 1000;

/** Reads the values of its counters at each scrape. */
export class EventLoopMetrics {
    readonly #delay: Histogram;

    constructor(private readonly registry: Registry) {
        this.#delay = new Histogram({
            name: "winglock_event_loop_delay_seconds",
            help: "How late a timer of this daemon is, ten times a second.",
            buckets: latencyBucketsS,
            registers: [registry],
        });
    }

    /** Records how late a timer was, in milliseconds. */
    recordDelay(delayMs: number): void {
        this.#delay.observe(delayMs / MS_PER_SECOND);
    }

    /** Adds counters for how the event loop and the process have used their time; `read` is called at each scrape. */
    showUse(read: () => EventLoopReading): void {
        const show = (name: string, help: string, value: (reading: EventLoopReading) => number): void => {
            new Counter({
                name,
                help,
                registers: [this.registry],
                collect() {
                    this.reset();
                    this.inc(value(read()));
                },
            });
        };
        show(
            "winglock_event_loop_waiting_seconds_total",
            "Time in which the event loop waited for events.",
            ({ waitedMs }) => waitedMs / MS_PER_SECOND,
        );
        show("winglock_event_loop_turns_total", "Turns of the event loop.", ({ turns }) => turns);
        show("winglock_event_loop_events_total", "Events of sockets that were handled.", ({ events }) => events);
        show(
            "winglock_process_cpu_seconds_total",
            "Processor time of the daemon, all threads together.",
            ({ cpuMs }) => cpuMs / MS_PER_SECOND,
        );
    }
}
