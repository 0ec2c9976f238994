/** Makes the parts of a daemon and joins them. */
import { randomBytes } from "node:crypto";
import type { Document } from "../config/document.js";
import type { Upstream } from "../config/upstream.js";
import { Datagrams } from "../datagram/datagrams.js";
import type { Message } from "../datagram/message.js";
import { ChangePublisher } from "../distribution/changepublisher.js";
import { ConfigurationPuller } from "../distribution/configurationpuller.js";
import { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import { DocumentWatcher } from "../distribution/documentwatcher.js";
import { HallHeartbeats } from "../distribution/hallheartbeats.js";
import { LeavingHosts } from "../distribution/leavinghosts.js";
import { WatcherElection } from "../distribution/watcherelection.js";
import { CallContexts } from "../gate/callcontexts.js";
import { Gate } from "../gate/gate.js";
import { GateIdentity } from "../gate/gateidentity.js";
import { HealthCheck } from "../health/healthcheck.js";
import { ProbeBudget } from "../health/probebudget.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import { splitAddress } from "../ids/splitaddress.js";
import { Ingress } from "../ingress/ingress.js";
import { Planner } from "../ingress/planner.js";
import { UpstreamTable } from "../ingress/upstreamtable.js";
import { Ledger } from "../ledger/ledger.js";
import type { Member } from "../membership/member.js";
import { Membership } from "../membership/membership.js";
import type { Metrics } from "../metrics/metrics.js";
import { OperatorApi } from "../operator/operatorapi.js";
import { OperatorServer } from "../operator/operatorserver.js";
import { PeerClient } from "../peer/peerclient.js";
import { PeerServer } from "../peer/peerserver.js";
import { ServiceRetries } from "../policy/retry/serviceretries.js";
import { processClock as clock } from "../time/processclock.js";
import { sleep } from "../time/sleep.js";
import { DaemonPeerService } from "./daemonpeerservice.js";
import { DatagramRouter } from "./datagramrouter.js";
import type { Environment } from "./environment.js";
import { GateSet } from "./gateset.js";
import { Hops } from "./hops.js";
import { LoadSharing } from "./loadsharing.js";
import { makePlacement } from "./makeplacement.js";
import { RuleMatcher } from "./rulematcher.js";
import type { Settings } from "./settings.js";

const INCARNATION_BYTES = 9;
const RETRY_PAUSE_MS = 100;
const random = (): number => Math.random();

/** Every part of one daemon, none of them started. */
export class Assembly {
    readonly self: Address;
    readonly #incarnation = randomBytes(INCARNATION_BYTES).toString("base64url") as Incarnation;
    readonly keeper = new CurrentConfiguration();
    readonly #contexts = new CallContexts();
    readonly #retries: ServiceRetries;
    readonly #identity: GateIdentity;
    readonly #ledger: Ledger;
    readonly #measuring: ProbeBudget;
    readonly peer: PeerClient;
    readonly puller: ConfigurationPuller;
    readonly gates: GateSet;
    readonly #hops: Hops;
    readonly #inbox: DatagramRouter;
    readonly #table: UpstreamTable;
    readonly datagrams: Datagrams;
    readonly membership: HallHeartbeats;
    readonly sharing: LoadSharing;
    readonly health: HealthCheck;
    readonly peerServer: PeerServer;
    readonly ingress: Ingress;
    readonly operator: OperatorServer;
    readonly roster: Membership | undefined;
    #requests = 0;

    constructor(readonly settings: Settings, readonly surroundings: Environment, readonly metrics: Metrics) {
        const { control, host, hall, limits, peerKey: key } = settings;
        const localIp = splitAddress(settings.peer).ip;
        const self = this.self = settings.advertise ?? settings.peer;
        const send = (to: Address, message: Message): boolean => this.datagrams.send(to, message);
        this.#identity = new GateIdentity(this.#incarnation, () => this.keeper.revision);
        this.#ledger = new Ledger(limits.ledgerEntries);
        this.#retries = new ServiceRetries(settings.policy.retryBurst);
        this.#measuring = new ProbeBudget(control, this.keeper, metrics, clock);
        this.peer = new PeerClient({ localIp, key, clock });
        this.puller = new ConfigurationPuller(this.keeper, this.peer, this.metrics);
        this.gates = new GateSet(self, upstream => this.#makeGate(upstream));
        this.#hops = new Hops({
            self,
            hall,
            gates: this.gates,
            identity: this.#identity,
            ledger: this.#ledger,
            peer: this.peer,
            options: { localIp, key, clock },
        });
        this.#table = new UpstreamTable(upstream => this.#hops.open(upstream));
        this.datagrams = new Datagrams(
            { key, clock, bytesPerSecond: control.bytesPerSecond, metrics: this.metrics },
            message => this.#inbox.receive(message),
        );
        const storeWatcher = new DocumentWatcher(surroundings.store, this.keeper, clock);
        this.membership = new HallHeartbeats({
            self,
            hall,
            host,
            clock,
            random,
            send,
            keeper: this.keeper,
            puller: this.puller,
            election: new WatcherElection(self, clock()),
            storeWatcher,
            hostWatcher: new LeavingHosts(surroundings.store),
            onHostLeaving: leaving => this.gates.setClosed("host-leaving", leaving),
        });
        this.sharing = new LoadSharing({
            self,
            clock,
            random,
            send,
            gates: () => this.gates.all,
            gate: name => this.gates.find(name),
            siblings: () => this.#upstreams,
            upstreams: this.#table,
            policy: settings.policy,
        });
        this.roster = this.#makeRoster(storeWatcher, send);
        this.#inbox = new DatagramRouter({
            self,
            clock,
            send,
            identity: this.#identity,
            gates: this.gates,
            upstreams: this.#table,
            membership: this.membership,
            pinger: this.sharing.pinger,
            relief: this.sharing.relief,
            gossip: () => this.roster?.gossip,
        });
        this.health = new HealthCheck(
            { path: service => this.#measuring.healthPath(service), perSecond: control.healthPerSecond },
            () => this.gates.all,
            this.metrics,
        );
        const catchUp = (revision: number, from: string | undefined): Promise<void> =>
            this.puller.pullSoon(revision, from as Address | undefined);
        const rulings = new RuleMatcher(this.keeper, clock);
        this.peerServer = new PeerServer({
            key,
            clock,
            identity: this.#identity,
            service: this.#makePeerFace(),
            gate: name => this.gates.find(name),
            catchUp,
            find: target => rulings.find(target),
            isStale: (head, ruling) => rulings.isStale(head, ruling),
            heardFrom: sender => this.sharing.reporter.recordSender(sender as Address),
        });
        this.ingress = new Ingress(limits, {
            planner: new Planner({
                dialect: surroundings.dialect,
                contexts: this.#contexts,
                random,
                revision: () => this.keeper.revision,
                find: (target, draw) => rulings.find(target, draw),
            }),
            callerService: settings.callerService,
        }, {
            clock,
            random,
            placement: makePlacement(settings.policy),
            upstreams: this.#table,
            metrics: this.metrics,
            retries: service => this.#retries.of(service),
            dialect: surroundings.dialect,
            hedge: settings.policy.hedge,
            newId: () => `${this.#incarnation}.${this.#requests++}`,
            revision: () => this.keeper.revision,
            from: self,
            catchUp,
            replan: (out, plan) => rulings.replan(out, plan),
        });
        this.operator = new OperatorServer(this.#makeOperatorFace(), this.metrics, () => this.keeper.revision > 0);
        this.metrics.showAge(() => this.keeper.ageMs(clock()));
        this.keeper.onChange(document => this.#follow(document));
    }

    #makePeerFace(): DaemonPeerService {
        const members = (): Member[] => this.roster?.members ?? [];
        return new DaemonPeerService(this.#identity, this.#ledger, this.keeper, this.gates, clock, members);
    }

    #makeGate(upstream: Upstream): Gate {
        const { policy, peer } = this.settings;
        return new Gate(upstream, {
            clock,
            limit: policy.limit,
            localIp: splitAddress(peer).ip,
            ledger: this.#ledger,
            contexts: this.#contexts,
            identity: this.#identity,
            dialect: this.surroundings.dialect,
            onChange: () => this.sharing.lookAtGates(),
            mayAsk: () => this.#measuring.mayAsk(),
            healthPath: service => this.#measuring.healthPath(service),
        });
    }

    #makeRoster(
        storeWatcher: DocumentWatcher,
        send: (to: Address, message: Message) => boolean,
    ): Membership | undefined {
        const { registry, dialect } = this.surroundings;
        if (registry === undefined) {
            return undefined;
        }
        const { self, settings, keeper, puller, peer } = this;
        const own = { incarnation: this.#incarnation, measuring: this.#measuring };
        const shared = { self, settings, keeper, puller, peer, ...own };
        const onChange = (): void => this.#followUpstreams();
        return new Membership({ ...shared, registry, dialect, storeWatcher, clock, random, send, onChange });
    }

    #makeOperatorFace(): OperatorApi {
        const pause = (attempt: number): Promise<void> => sleep(RETRY_PAUSE_MS * attempt);
        return new OperatorApi({
            clock,
            keeper: this.keeper,
            publisher: new ChangePublisher(this.surroundings.store, this.keeper, pause),
            upstreams: this.#table,
            peer: this.peer,
        });
    }

    /** The upstreams of the document, and those that have announced themselves. */
    get #upstreams(): readonly Upstream[] {
        return [...this.keeper.document.upstreams, ...this.roster?.upstreams ?? []];
    }

    #follow(document: Document): void {
        this.metrics.revision.set(document.revision);
        this.ingress.allow(document.limits ?? {});
        this.#followUpstreams();
    }

    #followUpstreams(): void {
        const upstreams = this.#upstreams;
        this.gates.apply(upstreams);
        this.#table.apply(upstreams);
        this.#hops.apply(upstreams);
    }
}
