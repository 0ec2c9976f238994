/**
 * Sends load reports, unsolicited, to the peers that recently sent requests here.
 *
 * Without these messages, a peer would receive reports only with responses. Owns the list of senders.
 * policy/placement/shouldreportload.ts decides which changes of load are reported.
 */
import type { Message } from "../datagram/message.js";
import type { Gate } from "../gate/gate.js";
import type { Address } from "../ids/address.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { shouldReportLoad } from "../policy/placement/shouldreportload.js";
import type { Clock } from "../time/clock.js";

/** Minimum interval between two checks; the load of a gate changes with every request. */
const CHECK_INTERVAL_MS = 10;
/** A peer that sent a request within this time is likely to send another one here. */
const RECENT_SENDER_MS = 1000;
/** Bounds memory and the number of datagrams; the most recent senders are kept. */
const MAX_SENDERS = 64;

type LoadReporterDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly gates: () => Iterable<Gate>;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Remembers the most recent senders, and the last report of each gate. */
export class LoadReporter {
    readonly #senders = new Map<Address, number>();
    readonly #lastReports = new Map<Gate, LoadReport>();
    #checkedAt = 0;

    constructor(private readonly deps: LoadReporterDependencies) {}

    /** Reports the load of gates where it has changed enough; must be called after each change at a gate. */
    check(): void {
        const now = this.deps.clock();
        if (now - this.#checkedAt < CHECK_INTERVAL_MS) {
            return;
        }
        this.#checkedAt = now;
        for (const gate of this.deps.gates()) {
            this.#reportIfChanged(gate);
        }
    }

    /** Records that a peer sent a request here. */
    recordSender(sender: Address): void {
        this.#senders.delete(sender);
        this.#senders.set(sender, this.deps.clock());
        if (this.#senders.size > MAX_SENDERS) {
            this.#senders.delete(this.#senders.keys().next().value!);
        }
    }

    /** Returns all remembered senders, the most recent one last. */
    recentSenders(): Address[] {
        return [...this.#senders.keys()];
    }

    #reportIfChanged(gate: Gate): void {
        const report = gate.report();
        const lastReport = this.#lastReports.get(gate);
        if (shouldReportLoad(report, lastReport)) {
            this.#lastReports.set(gate, report);
            this.#sendReport(gate, report);
        }
    }

    #sendReport(gate: Gate, report: LoadReport): void {
        const loads = [{ upstream: gate.upstream.name, report }];
        const now = this.deps.clock();
        for (const [sender, lastRequestAt] of this.#senders) {
            if (now - lastRequestAt < RECENT_SENDER_MS) {
                this.deps.send(sender, { type: "load", from: this.deps.self, loads });
            }
        }
    }
}
