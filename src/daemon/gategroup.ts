/** The gates of the upstreams beside this daemon, and what they share. */
import type { Document } from "../config/document.js";
import { CrashGuard } from "../crashes/crashguard.js";
import { CallContexts } from "../gate/callcontexts.js";
import { Gate } from "../gate/gate.js";
import { GateIdentity } from "../gate/gateidentity.js";
import { HealthCheck } from "../health/healthcheck.js";
import { ProbeBudget } from "../health/probebudget.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Ledger } from "../ledger/ledger.js";
import type { ColdLimits } from "../policy/cold/coldlimits.js";
import type { Arrival } from "../policy/retry/arrival.js";
import { RetriesByService } from "../policy/retry/retriesbyservice.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import { GateSet } from "./gateset.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;

/** Undefined where the service says nothing of cold upstreams. */
const coldLimitsOf = (
    { services }: Document,
    service: ServiceName,
    bound: Pick<ColdLimits, "overage" | "slack">,
): ColdLimits | undefined => {
    const { coldPerSecond: perSecond, coldStartMs: startMs = 0 } = services.find(({ name }) => name === service) ?? {};
    return perSecond === undefined ? undefined : { perSecond, startMs, ...bound };
};

/** Owns the ledger, the budgets of retries and the contexts of what runs here. */
export class GateGroup {
    readonly contexts = new CallContexts();
    readonly identity: GateIdentity;
    readonly ledger: Ledger;
    readonly probes: ProbeBudget;
    readonly gates: GateSet;
    readonly health: HealthCheck;
    readonly retries: RetriesByService;
    readonly guard: CrashGuard;
    #onChange: () => void = () => {};
    #onEnding: (upstream: UpstreamName) => void = () => {};
    #usualShare: (service: ServiceName) => number | undefined = () => undefined;

    constructor(context: DaemonContext, { current }: ConfigurationGroup) {
        const { settings, environment, metrics, clock, self, localIp } = context;
        const { control, limits, policy } = settings;
        this.identity = new GateIdentity(context.incarnation, () => current.revision);
        this.ledger = new Ledger(limits.ledgerEntries);
        this.probes = new ProbeBudget(control, current, metrics, clock);
        const { retryBurst: burst, repeats } = policy;
        const bound = { ...repeats, windowMs: repeats.windowS * MS_PER_SECOND };
        this.retries = new RetriesByService({ bound, burst, startedAt: clock() });
        const shared = {
            clock,
            localIp,
            ledger: this.ledger,
            contexts: this.contexts,
            identity: this.identity,
            dialect: environment.dialect,
            limit: policy.limit,
            medianLimitShare: (service: ServiceName) => this.#usualShare(service),
            onChange: () => this.#onChange(),
            mayAsk: () => this.probes.mayAsk(),
            mayProbeCrash: () => this.probes.mayAskForCrash(),
            onArrival: (service: ServiceName, arrival: Arrival) => metrics.arrived(service, arrival),
            onCrash: (service: ServiceName, crash: CrashId, requests: readonly RequestKey[]) => {
                metrics.crashed(service);
                this.guard.recordCrash({ service, crash, requests });
            },
            onHeldBack: (service: ServiceName, reason: "cold" | "limited") => metrics.heldBack(service, reason),
            onEnding: (upstream: UpstreamName) => this.#onEnding(upstream),
            onServed: (request: RequestKey) => this.guard.recordServed(request),
            quarantinedForMs: (request: RequestKey | undefined) => this.guard.quarantinedForMs(request),
            onUnresponsive: (address: Address) => context.unresponsiveConnections.record("upstream", address),
            repeatsLeft: (service: ServiceName) => this.#repeatsLeft(service, current, clock()),
            healthPath: (service: ServiceName) => this.probes.healthPath(service),
            coldLimits: (service: ServiceName) => coldLimitsOf(current.document, service, policy.cold),
            mayProbeCold: () => this.probes.mayAskForCold(),
        };
        this.guard = new CrashGuard({
            clock,
            hasServed: request => [...this.gates.all].some(gate => gate.hasServed(request)),
            cancel: request => [...this.gates.all].forEach(gate => gate.cancel(request)),
        });
        metrics.showLimited(() => [...this.gates.all].filter(gate => gate.limitPerSecond !== undefined).length);
        metrics.showQuarantined(() => this.guard.quarantinedCount);
        this.gates = new GateSet(self, upstream => new Gate(upstream, shared));
        context.unresponsiveConnections.onDetected(() =>
            [...this.gates.all].forEach(gate => gate.dropSuspectConnections())
        );
        current.onChange(() => [...this.gates.all].forEach(gate => gate.cold.updateLimits()));
        this.health = new HealthCheck({ perSecond: control.healthPerSecond }, () => this.gates.all, metrics);
    }

    /** Without a bound of its own, a service that the configuration no longer has gets none. */
    #repeatsLeft(name: ServiceName, current: ConfigurationGroup["current"], now: number): number {
        const service = current.document.services.find(each => each.name === name);
        if (service === undefined) {
            return 0;
        }
        const { budget, allowance } = this.retries.get(service, now);
        return budget.remaining(allowance, now);
    }

    /** Where gates ask what was found at others of their service. */
    onUsualShare(usualShare: (service: ServiceName) => number | undefined): void {
        this.#usualShare = usualShare;
    }

    /** Calls the listener when an upstream has said that it leaves for good. */
    onEnding(listener: (upstream: UpstreamName) => void): void {
        this.#onEnding = listener;
    }

    /** Calls the listener when a request arrives at a gate, and when one ends there. */
    onChange(listener: () => void): void {
        this.#onChange = listener;
    }
}
