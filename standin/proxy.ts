/** Forwards TCP connections and UDP datagrams, and injects delay, loss, cuts and pauses. */
import { createSocket } from "node:dgram";
import { connect, createServer, type Socket } from "node:net";
import type { Fault } from "./fault.js";
import type { Link } from "./link.js";

type ProxiedConnection = {
    readonly link: Link;
    readonly clientHall: number;
    readonly client: Socket;
    readonly target: Socket;
};

const HALL_OCTET = 2;
const PAUSE_POLL_MS = 10;

const hallOf = (ip: string | undefined): number => Number((ip ?? "").split(".")[HALL_OCTET] ?? 0);

const parseAddress = (address: string): { host: string; port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/**
 * Forwards links. The third octet of a host's IP is the number of its hall; between halls, each direction takes
 * `interHallDelayMs`.
 */
export class Proxy {
    readonly #connections = new Set<ProxiedConnection>();
    readonly #unresponsive = new WeakSet<ProxiedConnection>();
    #faults: Fault[] = [];

    constructor(private readonly interHallDelayMs: number) {}

    /** Replaces all faults, and closes the connections to which a cut applies. */
    setFaults(faults: Fault[]): void {
        this.#faults = faults;
        for (const connection of this.#connections) {
            if (this.#findFault(connection.link, connection.clientHall, "cut") !== undefined) {
                connection.client.destroy();
                connection.target.destroy();
            }
            if (this.#findFault(connection.link, connection.clientHall, "silent") !== undefined) {
                this.#unresponsive.add(connection);
            }
        }
    }

    /** Opens the listeners of a link and forwards its connections and datagrams. */
    async open(link: Link): Promise<void> {
        await this.#openTcp(link);
        await this.#openUdp(link);
    }

    #findFault<Name extends keyof Fault>(link: Link, clientHall: number, name: Name): Fault[Name] | undefined {
        const found = this.#faults.find(fault =>
            fault[name] !== undefined
            && (fault.links.length === 0 || fault.links.includes(link.listen))
            && (fault.from.length === 0 || fault.from.includes(clientHall))
        );
        return found?.[name];
    }

    #delayMs(link: Link, clientHall: number): number {
        return (clientHall === link.place ? 0 : this.interHallDelayMs)
            + (this.#findFault(link, clientHall, "delayMs") ?? 0);
    }

    #openTcp(link: Link): Promise<void> {
        const { host, port } = parseAddress(link.listen);
        const server = createServer({ noDelay: true }, client => this.#accept(link, client));
        return new Promise(resolve => server.listen(port, host, () => resolve()));
    }

    #accept(link: Link, client: Socket): void {
        const clientHall = hallOf(client.remoteAddress);
        if (this.#findFault(link, clientHall, "cut") !== undefined) {
            client.destroy();
            return;
        }
        const target = connect({ ...parseAddress(link.target), noDelay: true });
        const connection = { link, clientHall, client, target };
        this.#connections.add(connection);
        this.#forward(connection, client, target, "there");
        this.#forward(connection, target, client, "back");
        client.on("close", () => this.#connections.delete(connection));
    }

    #forward(connection: ProxiedConnection, source: Socket, sink: Socket, direction: "there" | "back"): void {
        let previous = Promise.resolve();
        const enqueue = (action: () => void): void => {
            previous = previous.then(() => this.#waitWhilePaused(connection)).then(action);
        };
        const schedule = (action: () => void): void => {
            if (this.#unresponsive.has(connection)) {
                return;
            }
            const delayMs = this.#delayMs(connection.link, connection.clientHall);
            if (delayMs === 0) {
                enqueue(action);
            }
            else {
                setTimeout(() => enqueue(action), delayMs);
            }
        };
        source.on("data", chunk => schedule(() => void (this.#isLost(connection, direction) || sink.write(chunk))));
        source.on("end", () => schedule(() => void sink.end()));
        source.on("error", () => {});
        source.on("close", hadError => {
            if (hadError) {
                sink.destroy();
            }
            else {
                schedule(() => void sink.end());
            }
        });
    }

    #isLost(connection: ProxiedConnection, direction: "there" | "back"): boolean {
        return this.#findFault(connection.link, connection.clientHall, "lose") === direction;
    }

    async #waitWhilePaused(connection: ProxiedConnection): Promise<void> {
        while (this.#findFault(connection.link, connection.clientHall, "pause") === true) {
            await new Promise(resolve => setTimeout(resolve, PAUSE_POLL_MS));
        }
    }

    #openUdp(link: Link): Promise<void> {
        const { host, port } = parseAddress(link.listen);
        const target = parseAddress(link.target);
        const socket = createSocket("udp4");
        socket.on("error", () => {});
        socket.on("message", (data, sender) => {
            const clientHall = hallOf(sender.address);
            const isDropped = (["cut", "pause", "lose", "deaf"] as const).some(name =>
                this.#findFault(link, clientHall, name) !== undefined
            );
            if (!isDropped) {
                setTimeout(() => socket.send(data, target.port, target.host), this.#delayMs(link, clientHall));
            }
        });
        return new Promise(resolve => socket.bind(port, host, () => resolve()));
    }
}
