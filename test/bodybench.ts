/** A gate with its upstream, behind a listener for peers and a relay that counts what is sent to it, for tests. */
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { buffer } from "node:stream/consumers";
import { OwnDialect } from "../src/dialect/owndialect.js";
import { CallContexts } from "../src/gate/callcontexts.js";
import { Gate } from "../src/gate/gate.js";
import { GateIdentity } from "../src/gate/gateidentity.js";
import type { GateCall } from "../src/hop/gatecall.js";
import type { GateResponse } from "../src/hop/gateresponse.js";
import { Cancellation } from "../src/http/cancellation.js";
import type { Address } from "../src/ids/address.js";
import { Ledger } from "../src/ledger/ledger.js";
import { PeerServer } from "../src/peer/peerserver.js";
import { RemoteHop } from "../src/peer/remotehop.js";
import { BodyMemory } from "../src/policy/admission/bodymemory.js";
import { UnreadMonitor } from "../src/time/unreadmonitor.js";
import { LinkEnds } from "./linkends.js";

const LOCAL_IP = "127.0.0.1";
const KEY = "a-key-for-tests-only";
const TIME_LIMIT_MS = 3000;
const LEDGER_ENTRIES = 100;

type Listener = ReturnType<typeof createServer>;

const listenOnLoopback = async (server: Listener): Promise<Address> => {
    server.listen(0, LOCAL_IP);
    await once(server, "listening");
    return `${LOCAL_IP}:${(server.address() as AddressInfo).port}` as Address;
};

/** Owns the servers of one gate with a single slot; the upstream responds when the test lets it. */
export class BodyBench {
    /** The bytes that were sent to the gate's daemon. */
    sentBytes = 0;
    /** The bodies that the upstream has received. */
    readonly bodies: Buffer[] = [];
    /** While true, the upstream does not respond. */
    isHolding = false;
    /** While true, the upstream closes its connection before it reads a body. */
    isBreaking = false;
    readonly #held: (() => void)[] = [];
    readonly #sockets = new Set<Socket>();
    #stop: () => Promise<void> = async () => {};

    private constructor(readonly memory: BodyMemory) {}

    /** Runs the body with a gate whose daemon holds at most `memoryBytes` of bodies. */
    static async run(memoryBytes: number, body: (bench: BodyBench, hop: RemoteHop) => Promise<void>): Promise<void> {
        const bench = new BodyBench(new BodyMemory(memoryBytes));
        const hop = await bench.#start();
        try {
            await body(bench, hop);
        }
        finally {
            bench.release();
            await hop.close();
            await bench.#stop();
        }
    }

    /** Sends a request that runs once; resolves with the response, or rejects with a HopError. */
    static send(
        hop: RemoteHop,
        id: string,
        { head: headOverrides, ...overrides }: Partial<GateCall> = {},
    ): Promise<GateResponse> {
        const call = LinkEnds.call({ cancel: new Cancellation(), headers: {}, ...overrides });
        const head = { ...call.head, id, upstream: "i-1", kind: "once", arrival: "first" };
        const times = { remainingMs: TIME_LIMIT_MS, maxWaitMs: TIME_LIMIT_MS };
        return hop.send({ ...call, head: { ...head, ...times, ...headOverrides } as never });
    }

    /** Lets the upstream respond to the requests that it holds. */
    release(): void {
        this.isHolding = false;
        this.#held.splice(0).forEach(respond => respond());
    }

    /** Resets the connections to the gate's daemon. */
    breakLinks(): void {
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    async #start(): Promise<RemoteHop> {
        const clock = (): number => performance.now();
        const upstream = createHttpServer((req, res) => {
            if (this.isBreaking) {
                req.socket.destroy();
                return;
            }
            void buffer(req).then(received => {
                this.bodies.push(received);
                this.#respond(() => res.end("ok"));
            }, () => {});
        });
        const identity = new GateIdentity("abcdefghijkl" as never, () => 1);
        const gate = this.#createGate(await listenOnLoopback(upstream), identity, clock);
        const server = new PeerServer({
            key: KEY,
            clock,
            unread: new UnreadMonitor(() => performance.now()),
            identity,
            service: undefined as never,
            bodyMemory: this.memory,
            gate: () => gate,
            pullConfiguration: async () => {},
            findRule: () => undefined,
            isStale: () => false,
            onSender: () => {},
        });
        const relay = createServer(socket => this.#relay(socket, port));
        const port = await this.#listenForPeers(server);
        const address = await listenOnLoopback(relay);
        this.#stop = async () => {
            this.breakLinks();
            relay.close();
            server.destroy();
            upstream.close();
            upstream.closeAllConnections();
            await Promise.all([server.close(), gate.shutDown()]);
        };
        const options = { localIp: LOCAL_IP, key: KEY, clock, onUnresponsive: () => {} };
        return new RemoteHop(address, undefined as never, options);
    }

    #createGate(address: Address, identity: GateIdentity, clock: () => number): Gate {
        const settings = { name: "i-1", service: "fees", address, slots: 1, draining: false };
        return new Gate(settings as never, {
            clock,
            identity,
            ledger: new Ledger(LEDGER_ENTRIES),
            contexts: new CallContexts(),
            dialect: new OwnDialect(),
            limit: "fixed",
            localIp: LOCAL_IP,
            medianLimitShare: () => undefined,
            onChange: () => {},
            onArrival: () => {},
            onServed: () => {},
            onHeldBack: () => {},
            quarantinedForMs: () => undefined,
            coldLimits: () => undefined,
            mayProbePace: () => false,
            mayProbeCold: () => false,
            mayProbeCrash: () => false,
        } as never);
    }

    /** Takes a free port of the system for the peers' listener. */
    async #listenForPeers(server: PeerServer): Promise<number> {
        const probe = createServer();
        const port = Number((await listenOnLoopback(probe)).split(":")[1]);
        await new Promise(resolve => probe.close(resolve));
        await server.listen(`${LOCAL_IP}:${port}`);
        return port;
    }

    #relay(socket: Socket, port: number): void {
        const onward = connect(port, LOCAL_IP);
        for (const end of [socket, onward]) {
            this.#sockets.add(end);
            end.on("error", () => {}).on("close", () => {
                this.#sockets.delete(end);
                socket.destroy();
                onward.destroy();
            });
        }
        socket.on("data", chunk => this.sentBytes += chunk.length);
        socket.pipe(onward).pipe(socket);
    }

    #respond(respond: () => void): void {
        if (this.isHolding) {
            this.#held.push(respond);
        }
        else {
            respond();
        }
    }
}
