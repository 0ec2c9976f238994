/** Daemons that know of requests that crash upstreams, without a network, for tests. */
import { CrashGuard } from "../src/crashes/crashguard.js";
import { CrashPropagation } from "../src/crashes/crashpropagation.js";
import type { Message } from "../src/datagram/message.js";
import type { Address } from "../src/ids/address.js";
import type { CrashId } from "../src/ids/crashid.js";
import type { Incarnation } from "../src/ids/incarnation.js";
import type { RequestKey } from "../src/ids/requestkey.js";
import type { ServiceName } from "../src/ids/servicename.js";

type Daemon = { readonly guard: CrashGuard; readonly propagation: CrashPropagation; readonly served: Set<RequestKey>; };

/** True for a datagram that arrives. */
type IsDelivered = (to: number, message: Message) => boolean;

/** They reach each other by calls; datagrams go where `carries` says so. */
export class CrashFleet {
    readonly daemons: Daemon[] = [];
    /** Records that went over in exchanges, both ways. */
    exchangedRecordCount = 0;
    #incarnationCount = 0;
    readonly #all: readonly Address[];

    constructor(size: number, private readonly isDelivered: IsDelivered) {
        this.#all = Array.from({ length: size }, (_, number) => CrashFleet.address(number));
        this.#all.forEach((_, number) => this.restart(number));
    }

    static address(number: number): Address {
        return `10.0.0.${number}:1` as Address;
    }

    /** A crash that the daemon has seen, with requests under way. */
    static recordCrash({ guard }: Daemon, crash: number, requests: readonly RequestKey[]): void {
        guard.recordCrash({ service: "pages" as ServiceName, crash: `crash-${crash}` as CrashId, requests });
    }

    /** Has a daemon begin a new life, in which it knows nothing. */
    restart(number: number): void {
        const served = new Set<RequestKey>();
        const guard = new CrashGuard({ clock: () => 0, hasServed: key => served.has(key), cancel: () => {} });
        this.daemons[number] = { guard, served, propagation: this.#makeSpread(number, guard) };
    }

    #makeSpread(number: number, guard: CrashGuard): CrashPropagation {
        return new CrashPropagation({
            self: CrashFleet.address(number),
            incarnation: `life-${this.#incarnationCount++}` as Incarnation,
            guard,
            random: () => 0,
            members: () => this.#all,
            relays: () => this.#all.slice(0, 2),
            siblings: () => this.#all,
            send: (to, message) => {
                if (this.isDelivered(this.#numberOf(to), message)) {
                    this.#at(to).propagation.receive(message as Extract<Message, { type: "crash"; }>);
                }
                return true;
            },
            exchange: async (peer, changes) => {
                const answer = this.#at(peer).propagation.handleExchange(changes);
                this.exchangedRecordCount += changes.records.length + answer.records.length;
                return answer;
            },
        });
    }

    #at(address: Address): Daemon {
        return this.daemons[this.#numberOf(address)]!;
    }

    #numberOf(address: Address): number {
        return this.#all.indexOf(address);
    }
}
