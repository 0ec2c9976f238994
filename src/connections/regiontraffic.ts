/**
 * Counts what this daemon exchanges with daemons of other regions, and decides whether requests may cross.
 *
 * The bytes of connections are read from their sockets when a count or a decision is needed, so that a request costs
 * nothing more. A peer whose region is unknown counts as one of the own region. Traffic with the store is not counted:
 * its region is not known to the daemon.
 */
import type { Socket } from "node:net";
import type { Address } from "../ids/address.js";
import type { RegionName } from "../ids/regionname.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { Metrics } from "../metrics/metrics.js";
import { CrossingBudget } from "../policy/placement/crossingbudget.js";
import type { Clock } from "../time/clock.js";

type Direction = "sent" | "received";

/** Counts since the daemon started, by direction. */
type Totals = { readonly bytes: number; readonly messages: number; };

type TrafficOptions = {
    readonly region: RegionName;
    /** The bound on the bytes sent to other regions, in bytes a second; undefined for none. */
    readonly bytesPerSecond: number | undefined;
    readonly clock: Clock;
    readonly metrics: Metrics;
};

/** The bytes of one connection that have been counted. */
type Counted = { readonly ip: string; sent: number; received: number; };

/** Owned by the daemon; the components that open connections and send datagrams report to it. */
export class RegionTraffic {
    readonly #totals = { sent: { bytes: 0, messages: 0 }, received: { bytes: 0, messages: 0 } };
    readonly #sockets = new Map<Socket, Counted>();
    readonly #budget: CrossingBudget | undefined;
    #regionByIp: ReadonlyMap<string, RegionName> = new Map();
    #unrecordedBytes = 0;

    constructor(private readonly options: TrafficOptions) {
        const { bytesPerSecond, clock, metrics } = options;
        this.#budget = bytesPerSecond === undefined ? undefined : new CrossingBudget(bytesPerSecond, clock());
        metrics.showRegionTraffic(direction => this.totals(direction));
    }

    /** Sets the regions of the known daemons. */
    setLocations(locations: readonly { readonly gate: Address; readonly region: RegionName; }[]): void {
        this.#regionByIp = new Map(locations.map(({ gate, region }) => [splitAddress(gate).ip, region]));
    }

    /** Counts the bytes of a connection to or from the IP address from now on. */
    readonly watch = (socket: Socket, ip: string | undefined): void => {
        if (ip === undefined) {
            return;
        }
        const counted = { ip, sent: 0, received: 0 };
        this.#sockets.set(socket, counted);
        socket.once("close", () => {
            this.#count(socket, counted);
            this.#sockets.delete(socket);
        });
    };

    /** Counts a control message: a datagram with its bytes, or a call, whose bytes its connection counts. */
    readonly countMessage = (direction: Direction, ip: string, bytes: number): void => {
        if (this.#isElsewhere(ip)) {
            this.#totals[direction].messages += 1;
            this.#addBytes(direction, bytes);
        }
    };

    /** Returns true if a request of this length may be sent to another region now. */
    allowsCrossing(bytes: number): boolean {
        if (this.#budget === undefined) {
            return true;
        }
        this.#countOpen();
        this.#budget.record(this.#unrecordedBytes, this.options.clock());
        this.#unrecordedBytes = 0;
        return this.#budget.allows(bytes);
    }

    totals(direction: Direction): Totals {
        this.#countOpen();
        return { ...this.#totals[direction] };
    }

    #isElsewhere(ip: string): boolean {
        const { region } = this.options;
        return (this.#regionByIp.get(ip) ?? region) !== region;
    }

    #countOpen(): void {
        this.#sockets.forEach((counted, socket) => this.#count(socket, counted));
    }

    #count(socket: Socket, counted: Counted): void {
        const { bytesWritten: sent, bytesRead: received } = socket;
        if (this.#isElsewhere(counted.ip)) {
            this.#addBytes("sent", sent - counted.sent);
            this.#addBytes("received", received - counted.received);
        }
        counted.sent = sent;
        counted.received = received;
    }

    #addBytes(direction: Direction, bytes: number): void {
        this.#totals[direction].bytes += bytes;
        this.#unrecordedBytes += direction === "sent" ? bytes : 0;
    }
}
