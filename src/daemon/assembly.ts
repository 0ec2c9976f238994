/** Makes the parts of a daemon and joins them. */
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
import { Hedging } from "../policy/hedging.js";
import type { Retries } from "../policy/retries.js";
import { RetryBudget } from "../policy/retrybudget.js";
import { HttpStore } from "../store/httpstore.js";
import { sleep } from "../time/sleep.js";
import { GateSet } from "./gateset.js";
import { Hops } from "./hops.js";
import { Inbox } from "./inbox.js";
import { makePlacement } from "./makeplacement.js";
import { PeerFace } from "./peerface.js";
import { Rulings } from "./rulings.js";
import type { Settings } from "./settings.js";

const INCARNATION_BYTES = 9;
const CATCH_UP_MS = 250;
const RETRY_PAUSE_MS = 100;
const clock = (): number => performance.now();
const random = (): number => Math.random();

/** Every part of one daemon, none of them started. */
export class Assembly {
    readonly self: Address;
    readonly #incarnation = randomBytes(INCARNATION_BYTES).toString("base64url") as Incarnation;
    readonly #metrics = new Metrics();
    readonly keeper = new Keeper();
    readonly #contexts = new Contexts();
    readonly #retries = new Map<ServiceName, Retries>();
    readonly #identity: GateIdentity;
    readonly #ledger: Ledger;
    readonly store: HttpStore;
    readonly peer: PeerClient;
    readonly puller: Puller;
    readonly gates: GateSet;
    readonly #hops: Hops;
    readonly #inbox: Inbox;
    readonly #neighbours: Neighbours;
    readonly datagrams: Datagrams;
    readonly membership: Membership;
    readonly pinger: Pinger;
    readonly reporter: Reporter;
    readonly relief: Relief;
    readonly health: HealthCheck;
    readonly peerServer: PeerServer;
    readonly ingress: Ingress;
    readonly operator: OperatorServer;
    #requests = 0;

    constructor(readonly settings: Settings) {
        const { control, host, hall, limits, peerKey: key } = settings;
        const localIp = splitAddress(settings.peer).ip;
        const self = this.self = settings.advertise ?? settings.peer;
        const send = (to: Address, message: Message): boolean => this.datagrams.send(to, message);
        this.#identity = new GateIdentity(this.#incarnation, () => this.keeper.revision);
        this.#ledger = new Ledger(limits.ledgerEntries);
        this.store = new HttpStore(settings.store, localIp, bytes => this.#metrics.spent("store", bytes));
        this.peer = new PeerClient({ localIp, key, clock });
        this.puller = new Puller(this.keeper, this.peer, this.#metrics);
        this.gates = new GateSet(self, upstream => this.#makeGate(upstream));
        this.#hops = new Hops({
            self,
            gates: this.gates,
            identity: this.#identity,
            ledger: this.#ledger,
            peer: this.peer,
            options: { localIp, key, clock },
        });
        this.#neighbours = new Neighbours(this.keeper.document, upstream => this.#hops.open(upstream));
        this.datagrams = new Datagrams(
            { key, clock, bytesPerSecond: control.bytesPerSecond, metrics: this.#metrics },
            message => this.#inbox.receive(message),
        );
        this.membership = new Membership({
            self,
            hall,
            host,
            clock,
            random,
            send,
            keeper: this.keeper,
            puller: this.puller,
            election: new Election(self, clock()),
            storeWatcher: new StoreWatcher(this.store, this.keeper, clock),
            hostWatcher: new HostWatcher(this.store),
            onHostLeaving: leaving => this.gates.setLeaving("host-leaving", leaving),
        });
        const gates = (): Iterable<Gate> => this.gates.all;
        this.pinger = new Pinger({ self, clock, neighbours: this.#neighbours, send });
        this.reporter = new Reporter({ self, clock, gates, send });
        this.relief = new Relief({
            self,
            clock,
            random,
            send,
            gates,
            gate: name => this.gates.find(name),
            document: () => this.keeper.document,
        });
        this.#inbox = new Inbox({
            self,
            clock,
            send,
            identity: this.#identity,
            gates: this.gates,
            neighbours: this.#neighbours,
            membership: this.membership,
            pinger: this.pinger,
            relief: this.relief,
        });
        this.health = new HealthCheck(
            { path: control.healthPath, perSecond: control.healthPerSecond },
            gates,
            this.#metrics,
        );
        const rulings = new Rulings(this.keeper, clock);
        this.peerServer = new PeerServer({
            key,
            clock,
            identity: this.#identity,
            service: new PeerFace(this.#identity, this.#ledger, this.keeper, this.gates, clock),
            gate: name => this.gates.find(name),
            catchUp: (revision, from) => this.#catchUp(revision, from),
            isStale: (head, method, host, path) => rulings.isStale(head, method, host, path),
            heardFrom: sender => this.reporter.heardFrom(sender as Address),
        });
        this.ingress = new Ingress(limits, {
            document: () => this.keeper.document,
            fresh: () => this.keeper.fresh(clock()),
            contexts: this.#contexts,
        }, {
            clock,
            random,
            placement: makePlacement(settings.policy.placement),
            neighbours: this.#neighbours,
            metrics: this.#metrics,
            retries: service => this.#retriesOf(service),
            hedge: settings.policy.hedge,
            newId: () => `${this.#incarnation}.${this.#requests++}`,
            revision: () => this.keeper.revision,
            from: self,
            catchUp: (revision, from) => this.#catchUp(revision, from),
            replan: (out, plan) => rulings.replan(out, plan),
        });
        this.operator = new OperatorServer(this.#makeOperatorFace(), this.#metrics, () => this.keeper.revision > 0);
        this.#metrics.showAge(() => this.keeper.ageMs(clock()));
        this.keeper.onChange(document => this.#follow(document));
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
            onChange: () => this.#lookAtGates(),
        });
    }

    /** The frugal profile sends nothing that no one has asked for. */
    #lookAtGates(): void {
        const { profile, relief } = this.settings.policy;
        if (profile === "frugal") {
            return;
        }
        this.reporter.look();
        if (relief) {
            this.relief.look();
        }
    }

    #makeOperatorFace(): OperatorFace {
        const pause = (attempt: number): Promise<void> => sleep(RETRY_PAUSE_MS * attempt);
        return new OperatorFace({
            clock,
            keeper: this.keeper,
            publisher: new Publisher(this.store, this.keeper, pause),
            neighbours: this.#neighbours,
            peer: this.peer,
        });
    }

    #retriesOf(service: ServiceName): Retries {
        const retries = this.#retries.get(service) ?? { budget: new RetryBudget(), hedging: new Hedging() };
        this.#retries.set(service, retries);
        return retries;
    }

    async #catchUp(revision: number, from: string | undefined): Promise<void> {
        if (revision > this.keeper.revision && from !== undefined) {
            await Promise.race([this.puller.pull(revision, from as Address), sleep(CATCH_UP_MS)]);
        }
    }

    #follow(document: Document): void {
        this.gates.apply(document);
        this.#neighbours.apply(document);
        this.#metrics.revision.set(document.revision);
        this.#hops.apply(document);
    }
}
