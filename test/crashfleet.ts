/** Connects the crash guards of several daemons without a network, for tests. */
import { CrashGuard } from "../src/crashes/crashguard.js";
import { CrashPropagation } from "../src/crashes/crashpropagation.js";
import type { Message } from "../src/datagram/message.js";
import type { Address } from "../src/ids/address.js";
import type { CrashId } from "../src/ids/crashid.js";
import type { Incarnation } from "../src/ids/incarnation.js";
import type { RequestKey } from "../src/ids/requestkey.js";
import type { ServiceName } from "../src/ids/servicename.js";

type Daemon = { readonly guard: CrashGuard; readonly propagation: CrashPropagation; readonly served: Set<RequestKey>; };

/** Returns true if the datagram arrives. */
type IsDelivered = (to: number, message: Message) => boolean;

/** Exchanges between daemons always succeed; `isDelivered` decides which datagrams arrive. */
export class CrashFleet {
    readonly daemons: Daemon[] = [];
    /** Number of records that exchanges have transferred, in both directions. */
    exchangedRecordCount = 0;
    #incarnationCount = 0;
    readonly #addresses: readonly Address[];

    constructor(size: number, private readonly isDelivered: IsDelivered) {
        this.#addresses = Array.from({ length: size }, (_, index) => CrashFleet.address(index));
        this.#addresses.forEach((_, index) => this.restart(index));
    }

    static address(index: number): Address {
        return `10.0.0.${index}:1` as Address;
    }

    /** Records a crash that the daemon has observed, with the requests that were in progress. */
    static recordCrash({ guard }: Daemon, crashNumber: number, requests: readonly RequestKey[]): void {
        guard.recordCrash({ service: "pages" as ServiceName, crash: `crash-${crashNumber}` as CrashId, requests });
    }

    /** Starts a new incarnation of a daemon, without any records. */
    restart(index: number): void {
        const served = new Set<RequestKey>();
        const guard = new CrashGuard({ clock: () => 0, hasServed: key => served.has(key), cancel: () => {} });
        this.daemons[index] = { guard, served, propagation: this.#createPropagation(index, guard) };
    }

    #createPropagation(index: number, guard: CrashGuard): CrashPropagation {
        return new CrashPropagation({
            self: CrashFleet.address(index),
            incarnation: `life-${this.#incarnationCount++}` as Incarnation,
            guard,
            random: () => 0,
            members: () => this.#addresses,
            relays: () => this.#addresses.slice(0, 2),
            siblings: () => this.#addresses,
            send: (to, message) => {
                if (this.isDelivered(this.#indexOf(to), message)) {
                    this.#daemonAt(to).propagation.receive(message as Extract<Message, { type: "crash"; }>);
                }
                return true;
            },
            exchange: async (peer, changes) => {
                const response = this.#daemonAt(peer).propagation.handleExchange(changes);
                this.exchangedRecordCount += changes.records.length + response.records.length;
                return response;
            },
        });
    }

    #daemonAt(address: Address): Daemon {
        return this.daemons[this.#indexOf(address)]!;
    }

    #indexOf(address: Address): number {
        return this.#addresses.indexOf(address);
    }
}
