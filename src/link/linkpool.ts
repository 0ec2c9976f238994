/** Pools the connections to one peer. */
import { connect, type Socket } from "node:net";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { Clock } from "../time/clock.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { frameType } from "./frametype.js";
import { LinkCheck } from "./linkcheck.js";
import { LinkConnection } from "./linkconnection.js";
import { LinkError } from "./linkerror.js";
import { writeFrame } from "./writeframe.js";

/** Limits file descriptors; more than the slots and the queue of any known upstream require. */
const MAX_CONNECTIONS = 256;
/** Several times the round trip between data halls. */
const CONNECT_TIMEOUT_MS = 500;
/** A peer that has just started responds slowly. */
const IDENTITY_TIMEOUT_MS = 1000;
/**
 * Shorter than the time for which the peer keeps an idle connection (peer/peerserver.ts). In a fleet of 83 daemons an
 * ingress sends to the same peer every five seconds, and a new connection costs processor time and a round trip.
 */
const IDLE_TIMEOUT_MS = 8000;

/** `localIp` is the source address of the connections; `key` is shared by all daemons. */
type PoolOptions = {
    readonly localIp: string;
    readonly key: string;
    readonly clock: Clock;
    /** Called after an unresponsive connection to the address has been closed. */
    readonly onUnresponsive: (address: Address) => void;
    /** Called with each new connection and the IP address of the peer. */
    readonly onSocket?: (socket: Socket, ip: string) => void;
};

/** Reuses the most recently used idle connection first, so that surplus connections reach their idle timeout. */
export class LinkPool {
    readonly #idle: LinkConnection[] = [];
    readonly #connections = new Set<LinkConnection>();
    readonly #check: LinkCheck;
    #closed = false;
    #peerSupportsProbes = false;
    /** The incarnation of the peer that asks for bodies; another one may have another version. */
    #onDemandIncarnation: Incarnation | undefined;

    constructor(readonly address: Address, private readonly options: PoolOptions) {
        this.#check = new LinkCheck({
            clock: options.clock,
            open: () => this.#open(),
            release: connection => this.#release(connection),
        });
    }

    /** Returns true if this incarnation of the peer asks for bodies that are sent on demand. */
    asksForBodies(incarnation: Incarnation | undefined): boolean {
        return incarnation !== undefined && incarnation === this.#onDemandIncarnation;
    }

    /** Resolves with an idle connection, or a new one if there is none; rejects with a LinkError. */
    async acquire(): Promise<LinkConnection> {
        for (let idle = this.#idle.pop(); idle !== undefined; idle = this.#idle.pop()) {
            if (idle.open) {
                return idle;
            }
        }
        if (this.#connections.size >= MAX_CONNECTIONS) {
            throw new LinkError("too-many-connections");
        }
        return await this.#open();
    }

    /** Requests the peer's incarnation and clock; see `LinkConnection.requestIdentity` for the results. */
    async requestIdentity(): Promise<ResponseMetadata | undefined> {
        const connection = await this.acquire();
        const metadata = await connection.requestIdentity(IDENTITY_TIMEOUT_MS);
        this.#recordOnDemand(metadata);
        if (connection.open) {
            this.#release(connection);
        }
        return metadata;
    }

    /**
     * Probes the peer over a new connection, since idle ones may be unresponsive. Resolves with the peer's incarnation
     * and clock, or undefined if it does not state them; rejects with a LinkError if it does not respond.
     */
    async probe(timeoutMs: number): Promise<ResponseMetadata | undefined> {
        const connection = await this.#open();
        const metadata = await connection.requestIdentity(timeoutMs);
        this.#peerSupportsProbes ||= metadata !== undefined;
        if (connection.open) {
            this.#release(connection);
        }
        return metadata;
    }

    /** Closes idle connections now, and each of the others after its request. */
    close(): void {
        this.#closed = true;
        this.closeIdle();
    }

    /** Closes idle connections, which may have become unresponsive unnoticed. */
    closeIdle(): void {
        this.#idle.splice(0).forEach(connection => connection.destroy());
    }

    async #closeIfUnresponsive(connection: LinkConnection): Promise<void> {
        if (this.#peerSupportsProbes && await this.#check.isUnresponsive(connection) && connection.busy) {
            connection.destroy();
            this.options.onUnresponsive(this.address);
        }
    }

    #open(): Promise<LinkConnection> {
        const { ip, port } = splitAddress(this.address);
        const { localIp, key } = this.options;
        return new Promise((resolve, reject) => {
            const socket = connect({ host: ip, port, localAddress: localIp, noDelay: true });
            const fail = (err: Error): void => reject(new LinkError("unreachable", { cause: err }));
            const timer = setTimeout(() => {
                socket.destroy();
                reject(new LinkError("unreachable"));
            }, CONNECT_TIMEOUT_MS);
            socket.once("error", fail);
            socket.once("close", () => clearTimeout(timer));
            socket.once("connect", () => {
                clearTimeout(timer);
                this.options.onSocket?.(socket, ip);
                socket.removeListener("error", fail);
                socket.write(writeFrame(frameType.greeting, Buffer.from(key)));
                const connection = this.#createConnection(socket);
                this.#connections.add(connection);
                socket.once("close", () => this.#connections.delete(connection));
                socket.setTimeout(IDLE_TIMEOUT_MS, () => this.#closeIfIdle(connection));
                resolve(connection);
            });
        });
    }

    #createConnection(socket: Socket): LinkConnection {
        return new LinkConnection(socket, {
            clock: this.options.clock,
            onIdle: connection => this.#release(connection),
            onOverdue: connection => this.#closeIfUnresponsive(connection),
            onFeatures: metadata => {
                this.#peerSupportsProbes = true;
                this.#recordOnDemand(metadata);
            },
        });
    }

    #recordOnDemand(metadata: ResponseMetadata | undefined): void {
        if (metadata?.bodiesOnDemand === true) {
            this.#onDemandIncarnation = metadata.incarnation;
        }
    }

    #release(connection: LinkConnection): void {
        if (this.#closed) {
            connection.destroy();
            return;
        }
        this.#idle.push(connection);
    }

    #closeIfIdle(connection: LinkConnection): void {
        const index = this.#idle.indexOf(connection);
        if (index >= 0) {
            this.#idle.splice(index, 1);
            connection.destroy();
        }
    }
}
