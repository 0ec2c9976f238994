/**
 * Creates the components of one daemon, starts them and stops them gracefully.
 *
 * The components form five groups, each of which depends only on those before it: configuration, gates, membership,
 * request path, operators.
 */
import { log } from "../log/log.js";
import { Metrics } from "../metrics/metrics.js";
import { planStop } from "../policy/stop/planstop.js";
import { readEventLoop } from "../time/readeventloop.js";
import { sleep } from "../time/sleep.js";
import { ConfigurationGroup } from "./configurationgroup.js";
import { DaemonContext } from "./daemoncontext.js";
import { DatagramRouter } from "./datagramrouter.js";
import type { Environment } from "./environment.js";
import { EventLoopMonitor } from "./eventloopmonitor.js";
import { GateGroup } from "./gategroup.js";
import { MembershipGroup } from "./membershipgroup.js";
import { OperatorGroup } from "./operatorgroup.js";
import { RequestPathGroup } from "./requestpathgroup.js";
import type { Settings } from "./settings.js";
import { waitIdle } from "./waitidle.js";

const logger = log("daemon");

/** Time in which peers can still revoke requests that they sent; a revocation takes 300 ms at most. */
const PEER_REVOKE_GRACE_MS = 500;
/** Time in which peers learn that the gates here take no more requests: several times the delay of a datagram. */
const LEAVE_PROPAGATION_MS = 100;

/** Bounds the wait for the handlers of requests that were cut off, which takes milliseconds. */
const CUT_OFF_WAIT_MS = 100;

/** `start` and `stop` may be called once each. */
export class Daemon {
    readonly #context: DaemonContext;
    readonly #configuration: ConfigurationGroup;
    readonly #gates: GateGroup;
    readonly #membership: MembershipGroup;
    readonly #requestPath: RequestPathGroup;
    readonly #operators: OperatorGroup;
    readonly #router: DatagramRouter;
    readonly #eventLoopMonitor: EventLoopMonitor;

    constructor(settings: Settings, createEnvironment: (settings: Settings, metrics: Metrics) => Environment) {
        const metrics = new Metrics();
        const context = new DaemonContext(settings, createEnvironment(settings, metrics), metrics);
        this.#context = context;
        this.#eventLoopMonitor = new EventLoopMonitor({ clock: context.clock, metrics });
        metrics.eventLoop.showUse(() => readEventLoop(context.clock()));
        this.#configuration = new ConfigurationGroup(context);
        this.#gates = new GateGroup(context, this.#configuration);
        this.#membership = new MembershipGroup(context, this.#configuration, this.#gates);
        this.#requestPath = new RequestPathGroup(context, this.#configuration, this.#gates, this.#membership);
        this.#operators = new OperatorGroup(context, this.#configuration, this.#requestPath, this.#membership);
        this.#router = new DatagramRouter({
            self: context.self,
            clock: context.clock,
            send: context.send,
            identity: this.#gates.identity,
            gateSet: this.#gates.gateSet,
            upstreams: this.#requestPath.upstreamTable,
            heartbeats: this.#membership.heartbeats,
            gossip: this.#membership.registryMembership?.gossip,
            failureDetector: this.#requestPath.loadSharing.failureDetector,
            transfer: this.#requestPath.loadSharing.transfer,
            crashes: this.#membership.crashes,
            quota: this.#requestPath.quota,
        });
        this.#membership.onChange(() => this.#requestPath.apply(this.#membership.upstreams));
    }

    /**
     * Loads the configuration and opens the listeners; rejects if an address is not available. If the configuration
     * names the upstreams, the listeners open only after the store and the seeds have responded or failed.
     */
    async start(): Promise<void> {
        const { settings, datagrams, unread } = this.#context;
        const loaded = this.#configuration.load();
        if (this.#membership.registryMembership === undefined) {
            await loaded;
        }
        unread.start();
        await datagrams.bind(settings.peer, message => this.#router.receive(message));
        await this.#requestPath.peerServer.listen(settings.peer);
        await this.#operators.listen();
        await this.#requestPath.ingress.listen(settings.ingress);
        await this.#operators.listenForReadiness();
        await this.#membership.start();
        this.#requestPath.loadSharing.start();
        this.#gates.healthCheck.start();
        this.#eventLoopMonitor.start();
        logger.change("The daemon is up.", {
            ready: true,
            host: settings.host,
            incarnation: this.#context.incarnation,
            hall: settings.hall,
            ingress: settings.ingress,
            operator: settings.operator,
            revision: this.#configuration.current.revision,
            codeCache: process.env["WINGLOCK_CODE_CACHE"],
        });
    }

    /**
     * Stops gracefully: sends callers elsewhere, notifies peers and completes the requests in flight. Those that are
     * left after the time limit are cut off. `forceStop` ends all waits at once.
     */
    async stop(forceStop: AbortSignal): Promise<void> {
        const { settings, clock, incarnation } = this.#context;
        const startedAt = clock();
        const schedule = planStop(settings.stop, startedAt);
        const limit = { clock, until: schedule.limitAt, forceStop };
        logger.change("The daemon is stopping.", {
            host: settings.host,
            incarnation,
            inFlight: this.#inFlightCount(),
        });
        this.#operators.server.setNotReady();
        this.#requestPath.ingress.startClosing(schedule);
        await sleep(schedule.lingerEndsAt - clock(), forceStop);
        this.#startLeaving();
        await sleep(LEAVE_PROPAGATION_MS, forceStop);
        await waitIdle(() => this.#gates.gateSet.pendingCount(), limit);
        await this.#requestPath.ingress.close();
        const left = await waitIdle(() => this.#inFlightCount(), limit);
        if (left > 0) {
            logger.warn(
                "Requests were cut off by the stop.",
                forceStop.aborted ? "an interrupt has ended the stop" : "the time limit of the stop has passed",
                { left },
            );
            console.error(`winglock:daemon ${left} requests were cut off by the stop.`);
        }
        await this.#cutOff();
        await this.#closePeerServer(schedule.exitAt, forceStop);
        this.#stopControlTasks();
        logger.change("The daemon has stopped.", {
            host: settings.host,
            incarnation,
            tookMs: Math.round(clock() - startedAt),
            left,
            ...this.#requestPath.ingress.stopSummary(),
        });
    }

    /**
     * Closes the gates to new requests and notifies peers. Called after the linger time, in which callers go elsewhere
     * and the gates still serve, since their upstreams work. Requests in flight at the upstreams can make calls through
     * this ingress until they have ended.
     */
    #startLeaving(): void {
        this.#requestPath.loadSharing.stop();
        void this.#membership.registryMembership?.startLeaving();
        this.#gates.gateSet.setClosed("stopping", true);
        this.#notifySenders();
        this.#requestPath.peerServer.startClosing();
    }

    /** Closes the connections of callers; resolves when the end of each request on them has been logged. */
    async #cutOff(): Promise<void> {
        const { clock } = this.#context;
        const { ingress } = this.#requestPath;
        ingress.destroy();
        await waitIdle(() => ingress.inFlight, { clock, until: clock() + CUT_OFF_WAIT_MS });
    }

    /** Waits before it closes, so that a peer that sent a request into a closing connection can still revoke it. */
    async #closePeerServer(exitAt: number, forceStop: AbortSignal): Promise<void> {
        const { clock } = this.#context;
        const { peerServer } = this.#requestPath;
        const remainingMs = (): number => Math.max(0, Math.min(PEER_REVOKE_GRACE_MS, exitAt - clock()));
        peerServer.closeIdle();
        await sleep(remainingMs(), forceStop);
        await waitIdle(() => this.#inFlightCount(), { clock, until: clock() + remainingMs(), forceStop });
        const closed = peerServer.close();
        peerServer.destroy();
        await closed;
    }

    #inFlightCount(): number {
        const { ingress, peerServer } = this.#requestPath;
        return this.#gates.gateSet.pendingCount() + ingress.inFlight + peerServer.inFlight;
    }

    #stopControlTasks(): void {
        const { environment, datagrams, peer } = this.#context;
        this.#membership.stop();
        this.#configuration.evacuations.stop();
        this.#gates.healthCheck.stop();
        this.#eventLoopMonitor.stop();
        this.#context.unread.stop();
        this.#requestPath.quota.stop();
        datagrams.close();
        void environment.store.close();
        void peer.close();
        this.#operators.stop();
    }

    /** Notifies the peers that recently sent requests here. */
    #notifySenders(): void {
        const { self, datagrams } = this.#context;
        const upstreams = [...this.#gates.gateSet.all].map(gate => gate.upstream.name);
        for (const sender of this.#requestPath.loadSharing.reporter.recentSenders()) {
            datagrams.send(sender, { type: "leave", from: self, upstreams });
        }
    }
}
