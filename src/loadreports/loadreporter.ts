/** Tells recent senders when an upstream's speed has changed much, since reports else ride on answers only. */
import type { Message } from "../datagram/message.js";
import type { Gate } from "../gate/gate.js";
import type { Address } from "../ids/address.js";
import { isWorthReporting } from "../policy/placement/isworthreporting.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { Clock } from "../time/clock.js";

const LOOK_EVERY_MS = 10;
const RECENT_MS = 1000;
const MAX_SENDERS = 64;

/** What the reporter needs of its daemon. */
type ReporterParts = {
    readonly self: Address;
    readonly clock: Clock;
    readonly gates: () => Iterable<Gate>;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Holds who sent work lately, a bounded number, and what they were told. */
export class LoadReporter {
    readonly #senders = new Map<Address, number>();
    readonly #told = new Map<Gate, LoadReport>();
    #lookedAt = 0;

    constructor(private readonly parts: ReporterParts) {}

    /** Takes in that something has changed at a gate; looks at most every few milliseconds. */
    check(): void {
        const now = this.parts.clock();
        if (now - this.#lookedAt < LOOK_EVERY_MS) {
            return;
        }
        this.#lookedAt = now;
        for (const gate of this.parts.gates()) {
            this.#compare(gate);
        }
    }

    /** Takes in that a peer sends work here. */
    recordSender(sender: Address): void {
        this.#senders.delete(sender);
        this.#senders.set(sender, this.parts.clock());
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
        const told = this.#told.get(gate);
        if (isWorthReporting(report, told)) {
            this.#told.set(gate, report);
            this.#tell(gate, report);
        }
    }

    #tell(gate: Gate, report: LoadReport): void {
        const loads = [{ upstream: gate.upstream.name, report }];
        const now = this.parts.clock();
        for (const [sender, at] of this.#senders) {
            if (now - at < RECENT_MS) {
                this.parts.send(sender, { type: "load", from: this.parts.self, loads });
            }
        }
    }
}
