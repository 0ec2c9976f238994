/** One daemon: makes its parts, joins them, and stops them by plan. */
import { randomBytes } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { Document } from "../config/document.js";
import type { Upstream } from "../config/upstream.js";
import { Datagrams } from "../control/datagrams.js";
import { Election } from "../control/election.js";
import { HealthCheck } from "../control/healthcheck.js";
import { HostWatcher } from "../control/hostwatcher.js";
import { Keeper } from "../control/keeper.js";
import { Membership } from "../control/membership.js";
import type { Message } from "../control/message.js";
import { Pinger } from "../control/pinger.js";
import { Publisher } from "../control/publisher.js";
import { Puller } from "../control/puller.js";
import { Relief } from "../control/relief.js";
import { Reporter } from "../control/reporter.js";
import { StoreWatcher } from "../control/storewatcher.js";
import { Contexts } from "../gate/contexts.js";
import { Gate } from "../gate/gate.js";
import { GateIdentity } from "../gate/gateidentity.js";
import type { Hop } from "../hop/hop.js";
import { LocalHop } from "../hop/localhop.js";
import { RemoteHop } from "../hop/remotehop.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import { splitAddress } from "../ids/splitaddress.js";
import { Ingress } from "../ingress/ingress.js";
import { Neighbours } from "../ingress/neighbours.js";
import { Ledger } from "../ledger/ledger.js";
import { Metrics } from "../metrics/metrics.js";
import { OperatorFace } from "../operator/operatorface.js";
import { OperatorServer } from "../operator/operatorserver.js";
import { PeerClient } from "../peer/peerclient.js";
import { PeerServer } from "../peer/peerserver.js";
import { RetryBudget } from "../policy/retrybudget.js";
import { HttpStore } from "../store/httpstore.js";
import { log } from "../time/log.js";
import { sleep } from "../time/sleep.js";
import { bootstrap } from "./bootstrap.js";
import { GateSet } from "./gateset.js";
import { makePlacement } from "./makeplacement.js";
import { PeerFace } from "./peerface.js";
import type { Settings } from "./settings.js";
import { waitIdle } from "./waitidle.js";

const debug = log("daemon");

const INCARNATION_BYTES = 9;
const CATCH_UP_MS = 250;
const RETRY_PAUSE_MS = 100;
const clock = (): number => performance.now();
const random = (): number => Math.random();

/** Owns every part; `start` and `stop` are called once each. */
export class Daemon {
    readonly #self: Address;
    readonly #incarnation = randomBytes(INCARNATION_BYTES).toString("base64url") as Incarnation;
    readonly #metrics = new Metrics();
    readonly #keeper = new Keeper();
    readonly #contexts = new Contexts();
    readonly #hops = new Map<Address, RemoteHop>();
    readonly #budgets = new Map<ServiceName, RetryBudget>();
    readonly #identity: GateIdentity;
    readonly #ledger: Ledger;
    readonly #store: HttpStore;
    readonly #peer: PeerClient;
    readonly #puller: Puller;
    readonly #gates: GateSet;
    readonly #neighbours: Neighbours;
    readonly #datagrams: Datagrams;
    readonly #membership: Membership;
    readonly #pinger: Pinger;
    readonly #reporter: Reporter;
    readonly #relief: Relief;
    readonly #health: HealthCheck;
    readonly #peerServer: PeerServer;
    readonly #ingress: Ingress;
    readonly #operator: OperatorServer;
    #requests = 0;

    constructor(private readonly settings: Settings) {
        const { control, host, hall, limits, peerKey: key } = settings;
        const localIp = splitAddress(settings.peer).ip;
        const self = this.#self = settings.advertise ?? settings.peer;
        const send = (to: Address, message: Message): boolean => this.#datagrams.send(to, message);
        this.#identity = new GateIdentity(this.#incarnation, () => this.#keeper.revision);
        this.#ledger = new Ledger(limits.ledgerEntries);
        this.#store = new HttpStore(settings.store, localIp, bytes => this.#metrics.spent("store", bytes));
        this.#peer = new PeerClient({ localIp, key, clock });
        this.#puller = new Puller(this.#keeper, this.#peer, this.#metrics);
        this.#gates = new GateSet(self, upstream => this.#makeGate(upstream));
        this.#neighbours = new Neighbours(this.#keeper.document, upstream => this.#openHop(upstream, localIp));
        this.#datagrams = new Datagrams(
            { key, clock, bytesPerSecond: control.bytesPerSecond, metrics: this.#metrics },
            message => this.#hear(message),
        );
        this.#membership = new Membership({
            self,
            hall,
            host,
            clock,
            random,
            send,
            keeper: this.#keeper,
            puller: this.#puller,
            election: new Election(self, clock()),
            storeWatcher: new StoreWatcher(this.#store, this.#keeper, clock),
            hostWatcher: new HostWatcher(this.#store),
            onHostLeaving: leaving => this.#gates.setLeaving("host-leaving", leaving),
        });
        const gates = (): Iterable<Gate> => this.#gates.all;
        this.#pinger = new Pinger({ self, clock, neighbours: this.#neighbours, send });
        this.#reporter = new Reporter({ self, clock, gates, send });
        this.#relief = new Relief({
            self,
            clock,
            random,
            send,
            gates,
            gate: name => this.#gates.find(name),
            document: () => this.#keeper.document,
        });
        this.#health = new HealthCheck(
            { path: control.healthPath, perSecond: control.healthPerSecond },
            gates,
            this.#metrics,
        );
        this.#peerServer = new PeerServer({
            key,
            clock,
            identity: this.#identity,
            service: new PeerFace(this.#identity, this.#ledger, this.#keeper, this.#gates, clock),
            gate: name => this.#gates.find(name),
            catchUp: (revision, from) => this.#catchUp(revision, from),
            heardFrom: sender => this.#reporter.heardFrom(sender as Address),
        });
        this.#ingress = new Ingress(limits, {
            document: () => this.#keeper.document,
            fresh: () => this.#keeper.fresh(clock()),
            contexts: this.#contexts,
        }, {
            clock,
            random,
            placement: makePlacement(settings.policy.placement),
            neighbours: this.#neighbours,
            metrics: this.#metrics,
            budget: service => this.#budget(service),
            newId: () => `${this.#incarnation}.${this.#requests++}`,
            revision: () => this.#keeper.revision,
            from: self,
        });
        this.#operator = new OperatorServer(this.#makeOperatorFace(), this.#metrics, () => this.#keeper.revision > 0);
        this.#keeper.onChange(document => this.#follow(document));
    }

    /** Listens once a configuration is had or none can be; rejects when an address can't be had. */
    async start(): Promise<void> {
        const { settings } = this;
        await bootstrap(this.#store, settings.seeds, this.#keeper, this.#puller, clock);
        await this.#datagrams.bind(settings.peer);
        await this.#peerServer.listen(settings.peer);
        await this.#operator.listen(settings.operator);
        await this.#ingress.listen(settings.ingress);
        this.#membership.start();
        this.#pinger.start();
        this.#reporter.start();
        this.#health.start();
        if (settings.policy.relief) {
            this.#relief.start();
        }
        debug("%s is up at revision %d.", settings.host, this.#keeper.revision);
    }

    /** Stops by plan: no new work, peers told, what runs is finished; after the time limit the rest is cut. */
    async stop(hurry: AbortSignal): Promise<void> {
        const { lingerMs, limitMs } = this.settings.stop;
        debug("%s stops.", this.settings.host);
        this.#operator.unready();
        this.#gates.setLeaving("stopping", true);
        this.#tellLeaving();
        this.#ingress.wind();
        await sleep(lingerMs, hurry);
        const closed = this.#ingress.close();
        const left = await waitIdle(() => this.#gates.busy() + this.#ingress.inFlight, limitMs, hurry);
        if (left > 0) {
            console.error(`winglock:daemon ${left} requests were cut off by the stop.`);
        }
        this.#ingress.destroy();
        await closed;
        this.#endControl();
        this.#peerServer.destroy();
        await this.#peerServer.close();
    }

    #endControl(): void {
        this.#membership.stop();
        this.#pinger.stop();
        this.#reporter.stop();
        this.#relief.stop();
        this.#health.stop();
        this.#datagrams.close();
        void this.#store.close();
        void this.#peer.close();
        this.#operator.destroy();
    }

    #tellLeaving(): void {
        const upstreams = [...this.#gates.all].map(gate => gate.upstream.name);
        for (const peer of this.#reporter.recent()) {
            this.#datagrams.send(peer, { type: "leave", from: this.#self, upstreams });
        }
    }

    #makeGate(upstream: Upstream): Gate {
        const { limit } = this.settings.policy;
        return new Gate(upstream, {
            clock,
            limit,
            localIp: splitAddress(this.settings.peer).ip,
            ledger: this.#ledger,
            contexts: this.#contexts,
            identity: this.#identity,
        });
    }

    #openHop(upstream: Upstream, localIp: string): { hop: Hop; local: boolean; } {
        const gate = upstream.gate === this.#self ? this.#gates.find(upstream.name) : undefined;
        if (gate !== undefined) {
            return { hop: new LocalHop(gate, this.#identity, this.#ledger, clock), local: true };
        }
        const known = this.#hops.get(upstream.gate);
        const hop = known ?? new RemoteHop(upstream.gate, this.#peer, { localIp, key: this.settings.peerKey, clock });
        this.#hops.set(upstream.gate, hop);
        return { hop, local: false };
    }

    #makeOperatorFace(): OperatorFace {
        const pause = (attempt: number): Promise<void> => sleep(RETRY_PAUSE_MS * attempt);
        return new OperatorFace({
            clock,
            keeper: this.#keeper,
            publisher: new Publisher(this.#store, this.#keeper, pause),
            neighbours: this.#neighbours,
            peer: this.#peer,
        });
    }

    #budget(service: ServiceName): RetryBudget {
        const budget = this.#budgets.get(service) ?? new RetryBudget();
        this.#budgets.set(service, budget);
        return budget;
    }

    async #catchUp(revision: number, from: string | undefined): Promise<void> {
        if (revision > this.#keeper.revision && from !== undefined) {
            await Promise.race([this.#puller.pull(revision, from as Address), sleep(CATCH_UP_MS)]);
        }
    }

    #follow(document: Document): void {
        this.#gates.apply(document);
        this.#neighbours.apply(document);
        this.#metrics.revision.set(document.revision);
        const gates = new Set(document.upstreams.map(upstream => upstream.gate));
        for (const [address, hop] of this.#hops) {
            if (!gates.has(address)) {
                this.#hops.delete(address);
                void hop.close();
            }
        }
    }

    #hear(message: Message): void {
        const now = clock();
        switch (message.type) {
            case "beat":
                return this.#membership.hear(message);
            case "ping":
                return this.#answer(message.from, message.sentAt);
            case "pong":
                return this.#pinger.hear(message);
            case "load":
                return message.loads.forEach(load => this.#neighbours.find(load.upstream)?.observe(load.report, now));
            case "leave":
                return message.upstreams.forEach(name => this.#neighbours.find(name)?.leaves(now));
            case "need":
                return this.#relief.hearNeed(message);
            case "offer":
                return this.#relief.hearOffer(message);
        }
    }

    #answer(to: Address, sentAt: number): void {
        const { incarnation, gateTime, revision } = this.#identity.note(clock());
        const loads = [...this.#gates.all].map(gate => ({ upstream: gate.upstream.name, report: gate.report() }));
        this.#datagrams.send(to, { type: "pong", from: this.#self, sentAt, incarnation, gateTime, revision, loads });
    }
}
