/** Handles requests from callers to upstreams, and those that peers send to the gates here. */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import { Ingress } from "../ingress/ingress.js";
import { Planner } from "../ingress/planner.js";
import { UpstreamTable } from "../ingress/upstreamtable.js";
import { PeerServer } from "../peer/peerserver.js";
import { keyedAgeLimitMs } from "../policy/access/keyedagelimitms.js";
import { BodyMemory } from "../policy/admission/bodymemory.js";
import { QuotaTask } from "../quota/quotatask.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import { DaemonPeerService } from "./daemonpeerservice.js";
import { descriptorLimit } from "./descriptorlimit.js";
import type { GateGroup } from "./gategroup.js";
import { Hops } from "./hops.js";
import { LoadSharing } from "./loadsharing.js";
import { makePlacement } from "./makeplacement.js";
import type { MembershipGroup } from "./membershipgroup.js";

/** The rest is for connections to upstreams, peers and the store, for the other listeners, and for files. */
const CALLERS_DESCRIPTOR_SHARE = 0.75;

/** Owns the ingress for callers, the server for peers, the hops to gates, and load sharing. */
export class RequestPathGroup {
    readonly upstreamTable: UpstreamTable;
    readonly loadSharing: LoadSharing;
    readonly quota: QuotaTask;
    readonly peerServer: PeerServer;
    readonly ingress: Ingress;
    readonly #hops: Hops;
    readonly #bodyMemory: BodyMemory;
    #requestCount = 0;
    #daemonCount = 1;

    constructor(
        private readonly context: DaemonContext,
        private readonly configuration: ConfigurationGroup,
        private readonly gates: GateGroup,
        private readonly membership: MembershipGroup,
    ) {
        const { settings, self, clock, random, send, peer, peerOptions } = context;
        const { identity, ledger } = gates;
        this.#bodyMemory = new BodyMemory(settings.limits.bodyMemoryBytes);
        this.#hops = new Hops({
            self,
            hall: settings.hall,
            region: settings.region,
            gateSet: gates.gateSet,
            identity,
            ledger,
            peer,
            peerOptions,
        });
        this.upstreamTable = new UpstreamTable(upstream => this.#hops.open(upstream), configuration.evacuations);
        this.loadSharing = new LoadSharing({
            self,
            clock,
            random,
            send,
            gates: () => gates.gateSet.all,
            gate: name => gates.gateSet.find(name),
            siblings: () => membership.upstreams,
            upstreams: this.upstreamTable,
            policy: settings.policy,
        });
        this.quota = this.#createQuota();
        this.peerServer = this.#createPeerServer();
        this.ingress = this.#createIngress();
        context.metrics.showBodyMemory(this.#bodyMemory);
        context.metrics.callers.showClosures(this.ingress.closures.counts);
        context.metrics.callers.showRequestMemory(() => this.ingress.requestMemory.heldBytes);
        context.metrics.showWaitingRequests(() => this.ingress.waitingCount);
        context.unresponsiveConnections.onDetected(() => this.#hops.closeIdle());
        gates.onChange(() => this.loadSharing.checkGates());
        configuration.evacuations.onChange(() => this.#applyEvacuations());
        configuration.current.onChange(document => this.ingress.applyCallerLimits(document.limits ?? {}));
    }

    /** Updates gates, the table of upstreams and hops to the present upstreams. */
    apply(upstreams: readonly Upstream[]): void {
        this.gates.gateSet.apply(upstreams);
        this.upstreamTable.apply(upstreams);
        this.#hops.apply(upstreams);
        this.context.regionTraffic.setLocations([...upstreams, ...this.membership.members]);
        const gates = new Set(upstreams.map(({ gate }) => gate));
        this.#daemonCount = Math.max(gates.size, this.membership.members.length);
        this.gates.retriesByService.recordDaemonCount(this.#daemonCount);
        this.quota.applyMembers();
    }

    /** Closes all gates while this daemon's hall is evacuated; each of them is in that hall. */
    #applyEvacuations(): void {
        const isEvacuated = this.configuration.evacuations.isEvacuated(this.context.settings.hall);
        this.gates.gateSet.setClosed("evacuated", isEvacuated);
    }

    #createQuota(): QuotaTask {
        const { settings, self, incarnation, clock, random, send, datagrams } = this.context;
        const quota = new QuotaTask({
            self,
            incarnation,
            clock,
            random,
            send,
            bound: settings.policy.quota,
            onStart: () => datagrams.reserveForQuota(),
            members: () => {
                const { members, upstreams } = this.membership;
                return [...new Set([self, ...members.map(({ gate }) => gate), ...upstreams.map(({ gate }) => gate)])];
            },
        });
        this.configuration.current.onChange(({ teams }) => quota.applyTeams(teams ?? []));
        return quota;
    }

    readonly #pullConfiguration = (revision: number, from: string | undefined): Promise<void> =>
        this.configuration.puller.pullForRequest(revision, from as Address | undefined);

    #createPeerServer(): PeerServer {
        const { context, configuration, gates } = this;
        const { clock, settings } = context;
        const { rules, current } = configuration;
        const { identity, ledger } = gates;
        return new PeerServer({
            key: settings.peerKey,
            clock,
            unread: context.unread,
            identity,
            service: new DaemonPeerService({
                identity,
                ledger,
                clock,
                membership: this.membership.registryMembership,
                watchesStore: () => this.membership.heartbeats.isWatcher,
                configuration: current,
                rejection: this.configuration.rejection,
                gateSet: gates.gateSet,
                crashes: this.membership.crashes,
                regionTraffic: this.context.regionTraffic,
            }),
            gate: name => gates.gateSet.find(name),
            bodyMemory: this.#bodyMemory,
            pullConfiguration: this.#pullConfiguration,
            findRule: target => rules.find(target),
            isStale: (head, rule, service) => rules.isStale(head, rule, service),
            onSocket: this.context.regionTraffic.watch,
            onSender: sender => this.loadSharing.reporter.recordSender(sender as Address),
        });
    }

    #createIngress(): Ingress {
        const { settings, environment, metrics, clock, random, self, incarnation } = this.context;
        const { current, rules } = this.configuration;
        const { dialect } = environment;
        const { policy } = settings;
        const revision = (): number => current.revision;
        const planner = new Planner({
            dialect,
            random,
            document: () => current.document,
            configurationAgeMs: () => current.ageMs(clock()),
            keyedAgeLimitMs: keyedAgeLimitMs(policy.keys.maxConfigurationAgeMs),
            onAccessRefused: reason => metrics.refusals.countAccessRefusal(reason),
            contexts: this.gates.callContexts,
            findRule: (target, sample) => rules.find(target, sample),
        });
        const descriptors = descriptorLimit(settings.limits.descriptors);
        const listenerParts = {
            planner,
            unread: this.context.unread,
            callerService: settings.callerService,
            bodyMemory: this.#bodyMemory,
            maxOpenConnections: Math.floor(CALLERS_DESCRIPTOR_SHARE * descriptors),
        };
        return new Ingress(settings.limits, listenerParts, {
            clock,
            random,
            metrics,
            dialect,
            revision,
            placement: makePlacement(policy),
            upstreams: this.upstreamTable,
            retries: service => this.gates.retriesByService.get(service, clock()),
            isHedgingEnabled: policy.hedge,
            crashGuard: this.gates.crashGuard,
            quota: this.quota,
            daemonCount: () => this.#daemonCount,
            allowsCrossing: bytes => this.context.regionTraffic.allowsCrossing(bytes),
            newRequestId: () => `${incarnation}.${this.#requestCount++}`,
            peerAddress: self,
            pullConfiguration: this.#pullConfiguration,
            replan: (out, plan) => rules.replan(out, plan),
        });
    }
}
