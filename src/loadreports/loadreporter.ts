/**
 * Reports a change of load to those who sent requests here lately, since reports else ride on answers only.
 *
 * Owns the list of senders; which change is worth a report is decided by policy/placement/shouldreportload.ts.
 */
import type { Message } from "../datagram/message.js";
import type { Gate } from "../gate/gate.js";
import type { Address } from "../ids/address.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { shouldReportLoad } from "../policy/placement/shouldreportload.js";
import type { Clock } from "../time/clock.js";

/** At the most, in milliseconds: gates change with each request. */
const LOOK_EVERY_MS = 10;
/** Who sent a request within this time may send the next one here too; milliseconds. */
const RECENT_MS = 1000;
/** Remembered, the latest: bounds memory and datagrams. */
const MAX_SENDERS = 64;

/** What the reporter needs of its daemon. */
type ReporterDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly gates: () => Iterable<Gate>;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Holds a bounded number of senders, and what was reported last. */
export class LoadReporter {
    readonly #senders = new Map<Address, number>();
    readonly #reported = new Map<Gate, LoadReport>();
    #lookedAt = 0;

    constructor(private readonly deps: ReporterDependencies) {}

    /** To be called when something has changed at a gate; looks at most every few milliseconds. */
    check(): void {
        const now = this.deps.clock();
        if (now - this.#lookedAt < LOOK_EVERY_MS) {
            return;
        }
        this.#lookedAt = now;
        for (const gate of this.deps.gates()) {
            this.#compare(gate);
        }
    }

    /** Records that a peer sends requests here. */
    recordSender(sender: Address): void {
        this.#senders.delete(sender);
        this.#senders.set(sender, this.deps.clock());
        if (this.#senders.size > MAX_SENDERS) {
            this.#senders.delete(this.#senders.keys().next().value!);
        }
    }

    /** All that are remembered, the latest last. */
    senders(): Address[] {
        return [...this.#senders.keys()];
    }

    #compare(gate: Gate): void {
        const report = gate.report();
        const reported = this.#reported.get(gate);
        if (shouldReportLoad(report, reported)) {
            this.#reported.set(gate, report);
            this.#report(gate, report);
        }
    }

    #report(gate: Gate, report: LoadReport): void {
        const loads = [{ upstream: gate.upstream.name, report }];
        const now = this.deps.clock();
        for (const [sender, at] of this.#senders) {
            if (now - at < RECENT_MS) {
                this.deps.send(sender, { type: "load", from: this.deps.self, loads });
            }
        }
    }
}
