/** The two ends of links between daemons, for tests: a pool, and a listener with its sockets. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { GateCall } from "../src/hop/gatecall.js";
import { Cancellation } from "../src/http/cancellation.js";
import type { Address } from "../src/ids/address.js";
import { LinkPool } from "../src/link/linkpool.js";
import { LinkSession } from "../src/link/linksession.js";
import type { ServedCall } from "../src/link/servedcall.js";
import type { ServedResponse } from "../src/link/servedresponse.js";

type Serve = (call: ServedCall, cancel: Cancellation) => Promise<ServedResponse>;

const KEY = "a-key-for-tests-only";

/** `unresponsive`: addresses of connections that the pool found unresponsive; `isClosing`: the listener is closing. */
export class LinkEnds {
    static readonly metadata = { incarnation: "abcdefghijkl", gateTime: 1, revision: 2 } as ServedResponse["metadata"];
    readonly sockets: Socket[] = [];
    readonly unresponsive: Address[] = [];
    readonly pool: LinkPool;
    isClosing = false;

    private constructor(private readonly server: Server, private readonly serve: Serve) {
        const { port } = server.address() as AddressInfo;
        const onUnresponsive = (address: Address): void => void this.unresponsive.push(address);
        this.pool = LinkEnds.makePool(`127.0.0.1:${port}` as Address, { onUnresponsive });
    }

    /** Runs a body between a pool and a listener of its own. */
    static async between(serve: Serve, body: (ends: LinkEnds) => Promise<void>): Promise<void> {
        const server = createServer();
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const ends = new LinkEnds(server, serve);
        ends.resumeReading();
        try {
            await body(ends);
        }
        finally {
            ends.#end();
        }
    }

    static call(overrides: Partial<GateCall> = {}): GateCall {
        return {
            head: {
                id: "abcdefghijkl.1",
                upstream: "i-1",
                kind: "repeatable",
                priority: "normal",
                team: "none",
                answer: "whole",
                remainingMs: 900,
                maxWaitMs: 100,
                depth: 0,
                revision: 4,
                choices: 0,
                nearChoices: 0,
            } as GateCall["head"],
            rule: undefined,
            method: "POST",
            path: "/a/b?c=d",
            headers: { "host": "h", "set-cookie": ["one", "two"] },
            body: undefined,
            cancel: new Cancellation(),
            ...overrides,
        };
    }

    static makePool(address: Address, overrides: Partial<ConstructorParameters<typeof LinkPool>[1]> = {}): LinkPool {
        const clock = (): number => performance.now();
        return new LinkPool(address, { localIp: "127.0.0.1", key: KEY, clock, onUnresponsive: () => {}, ...overrides });
    }

    /** Takes connections from now on and reads nothing from them. */
    stopReading(): void {
        this.server.removeAllListeners("connection");
        this.server.on("connection", socket => this.sockets.push(socket));
    }

    /** Serves what comes on connections that are taken from now on. */
    resumeReading(): void {
        this.server.removeAllListeners("connection");
        this.server.on("connection", socket => this.#accept(socket));
    }

    /** Has a connection carry nothing more, either way, without an end. */
    makeUnresponsive(socket: Socket): void {
        socket.removeAllListeners("data");
        socket.write = () => true;
    }

    #accept(socket: Socket): void {
        this.sockets.push(socket);
        new LinkSession(socket, {
            key: Buffer.from(KEY),
            serve: this.serve,
            refuseInvalid: () => ({ metadata: LinkEnds.metadata, status: 0, headers: {}, body: undefined }),
            identity: () => LinkEnds.metadata,
            isClosing: () => this.isClosing,
        });
    }

    #end(): void {
        this.pool.close();
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}
