/** A TCP and UDP proxy that injects delay, loss, cuts and pauses. */
import { createSocket } from "node:dgram";
import { connect, createServer, type Socket } from "node:net";
import type { Fault } from "./fault.js";
import type { Link } from "./link.js";

type Pair = { readonly link: Link; readonly from: number; readonly near: Socket; readonly far: Socket; };

const PLACE_OCTET = 2;
const HELD_LOOK_MS = 10;

const placeOf = (ip: string | undefined): number => Number((ip ?? "").split(".")[PLACE_OCTET] ?? 0);

const split = (address: string): { host: string; port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/** A host's place is the third number of its IP; between places each direction takes `betweenMs`. */
export class Proxy {
    readonly #pairs = new Set<Pair>();
    readonly #silent = new WeakSet<Pair>();
    #faults: Fault[] = [];

    constructor(private readonly betweenMs: number) {}

    /** Replaces all faults; connections that a cut hits are ended. */
    setFaults(faults: Fault[]): void {
        this.#faults = faults;
        for (const pair of this.#pairs) {
            if (this.#fault(pair.link, pair.from, "cut") !== undefined) {
                pair.near.destroy();
                pair.far.destroy();
            }
            if (this.#fault(pair.link, pair.from, "silent") !== undefined) {
                this.#silent.add(pair);
            }
        }
    }

    /** Forwards a link's connections and datagrams. */
    async open(link: Link): Promise<void> {
        await this.#openTcp(link);
        await this.#openUdp(link);
    }

    #fault<Name extends keyof Fault>(link: Link, from: number, name: Name): Fault[Name] | undefined {
        const found = this.#faults.find(fault =>
            fault[name] !== undefined
            && (fault.links.length === 0 || fault.links.includes(link.listen))
            && (fault.from.length === 0 || fault.from.includes(from))
        );
        return found?.[name];
    }

    #delayMs(link: Link, from: number): number {
        return (from === link.place ? 0 : this.betweenMs) + (this.#fault(link, from, "delayMs") ?? 0);
    }

    #openTcp(link: Link): Promise<void> {
        const { host, port } = split(link.listen);
        const server = createServer({ noDelay: true }, near => this.#accept(link, near));
        return new Promise(resolve => server.listen(port, host, () => resolve()));
    }

    #accept(link: Link, near: Socket): void {
        const from = placeOf(near.remoteAddress);
        if (this.#fault(link, from, "cut") !== undefined) {
            near.destroy();
            return;
        }
        const far = connect({ ...split(link.target), noDelay: true });
        const pair = { link, from, near, far };
        this.#pairs.add(pair);
        this.#pump(pair, near, far, "there");
        this.#pump(pair, far, near, "back");
        near.on("close", () => this.#pairs.delete(pair));
    }

    #pump(pair: Pair, source: Socket, sink: Socket, way: "there" | "back"): void {
        let last = Promise.resolve();
        const later = (act: () => void): void => {
            last = last.then(() => this.#hold(pair)).then(act);
        };
        const at = (act: () => void): void => {
            if (this.#silent.has(pair)) {
                return;
            }
            const delayMs = this.#delayMs(pair.link, pair.from);
            if (delayMs === 0) {
                later(act);
            }
            else {
                setTimeout(() => later(act), delayMs);
            }
        };
        source.on("data", chunk => at(() => void (this.#isLost(pair, way) || sink.write(chunk))));
        source.on("end", () => at(() => void sink.end()));
        source.on("error", () => {});
        source.on("close", hadError => {
            if (hadError) {
                sink.destroy();
            }
            else {
                at(() => void sink.end());
            }
        });
    }

    #isLost(pair: Pair, way: "there" | "back"): boolean {
        return this.#fault(pair.link, pair.from, "lose") === way;
    }

    async #hold(pair: Pair): Promise<void> {
        while (this.#fault(pair.link, pair.from, "pause") === true) {
            await new Promise(resolve => setTimeout(resolve, HELD_LOOK_MS));
        }
    }

    #openUdp(link: Link): Promise<void> {
        const { host, port } = split(link.listen);
        const target = split(link.target);
        const socket = createSocket("udp4");
        socket.on("error", () => {});
        socket.on("message", (data, sender) => {
            const from = placeOf(sender.address);
            const dropped = (["cut", "pause", "lose", "deaf"] as const).some(name =>
                this.#fault(link, from, name) !== undefined
            );
            if (!dropped) {
                setTimeout(() => socket.send(data, target.port, target.host), this.#delayMs(link, from));
            }
        });
        return new Promise(resolve => socket.bind(port, host, () => resolve()));
    }
}
