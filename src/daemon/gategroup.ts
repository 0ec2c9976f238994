/** Creates the gates of the local upstreams, and the components that they share. */
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

const MS_PER_SECOND = 1000;

/** Returns the limits for cold upstreams of the service, or undefined if it has none. */
const coldLimitsOf = (
    { services }: Document,
    service: ServiceName,
    margin: Pick<ColdLimits, "overage" | "slack">,
): ColdLimits | undefined => {
    const { coldPerSecond: perSecond, coldStartMs: startMs = 0 } = services.find(({ name }) => name === service) ?? {};
    return perSecond === undefined ? undefined : { perSecond, startMs, ...margin };
};

/** Owns the gates, the ledger, the retry budgets, the crash guard, and the contexts of running requests. */
export class GateGroup {
    readonly callContexts = new CallContexts();
    readonly identity: GateIdentity;
    readonly ledger: Ledger;
    readonly probeBudget: ProbeBudget;
    readonly gateSet: GateSet;
    readonly healthCheck: HealthCheck;
    readonly retriesByService: RetriesByService;
    readonly crashGuard: CrashGuard;
    #onChange: () => void = () => {};
    #onEnding: (upstream: UpstreamName) => void = () => {};
    #medianLimitShare: (service: ServiceName) => number | undefined = () => undefined;

    constructor(context: DaemonContext, { current }: ConfigurationGroup) {
        const { settings, environment, metrics, clock, self, localIp } = context;
        const { control, limits, policy } = settings;
        this.identity = new GateIdentity(context.incarnation, () => current.revision);
        this.ledger = new Ledger(limits.ledgerEntries);
        this.probeBudget = new ProbeBudget(control, current, metrics, clock);
        const { retryBurst: burst, repeats } = policy;
        const repeatBound = { ...repeats, windowMs: repeats.windowS * MS_PER_SECOND };
        this.retriesByService = new RetriesByService({ bound: repeatBound, burst, startedAt: clock() });
        const gateDependencies = {
            clock,
            localIp,
            ledger: this.ledger,
            contexts: this.callContexts,
            identity: this.identity,
            dialect: environment.dialect,
            limit: policy.limit,
            medianLimitShare: (service: ServiceName) => this.#medianLimitShare(service),
            onChange: () => this.#onChange(),
            mayProbePace: () => this.probeBudget.mayProbePace(),
            mayProbeCrash: () => this.probeBudget.mayProbeCrash(),
            onArrival: (service: ServiceName, arrival: Arrival) => metrics.countArrival(service, arrival),
            onCrash: (service: ServiceName, crash: CrashId, requests: readonly RequestKey[]) => {
                metrics.countCrash(service);
                this.crashGuard.recordCrash({ service, crash, requests });
            },
            onHeldBack: (service: ServiceName, reason: "cold" | "limited") =>
                metrics.refusals.countHeldBack(service, reason),
            onEnding: (upstream: UpstreamName) => this.#onEnding(upstream),
            onServed: (request: RequestKey) => this.crashGuard.recordServed(request),
            quarantinedForMs: (request: RequestKey | undefined) => this.crashGuard.quarantinedForMs(request),
            onUnresponsive: (address: Address) => context.unresponsiveConnections.record("upstream", address),
            repeatsLeft: (service: ServiceName) => this.#repeatsLeft(service, current, clock()),
            healthPath: (service: ServiceName) => this.probeBudget.healthPath(service),
            coldLimits: (service: ServiceName) => coldLimitsOf(current.document, service, policy.cold),
            mayProbeCold: () => this.probeBudget.mayProbeCold(),
        };
        this.crashGuard = new CrashGuard({
            clock,
            hasServed: request => [...this.gateSet.all].some(gate => gate.hasServed(request)),
            cancel: request => [...this.gateSet.all].forEach(gate => gate.cancel(request)),
        });
        metrics.showLimited(() => [...this.gateSet.all].filter(gate => gate.limitPerSecond !== undefined).length);
        metrics.showQuarantined(() => this.crashGuard.quarantinedCount);
        this.gateSet = new GateSet(self, upstream => new Gate(upstream, gateDependencies));
        context.unresponsiveConnections.onDetected(() =>
            [...this.gateSet.all].forEach(gate => gate.dropSuspectConnections())
        );
        current.onChange(() => [...this.gateSet.all].forEach(gate => gate.cold.updateLimits()));
        this.healthCheck = new HealthCheck({ perSecond: control.healthPerSecond }, () => this.gateSet.all, metrics);
    }

    /** Returns how many repeats this daemon can still afford for a service; 0 if it is no longer configured. */
    #repeatsLeft(name: ServiceName, current: ConfigurationGroup["current"], now: number): number {
        const service = current.document.services.find(candidate => candidate.name === name);
        if (service === undefined) {
            return 0;
        }
        const { budget, allowance } = this.retriesByService.get(service, now);
        return budget.remaining(allowance, now);
    }

    /** Sets the function behind GateDependencies.medianLimitShare; until then, the share is unknown. */
    setMedianLimitShareSource(medianLimitShare: (service: ServiceName) => number | undefined): void {
        this.#medianLimitShare = medianLimitShare;
    }

    /** Sets the listener that is called when an upstream has announced that it is leaving permanently. */
    onEnding(listener: (upstream: UpstreamName) => void): void {
        this.#onEnding = listener;
    }

    /** Sets the listener that is called when a request arrives at a gate and when one ends there. */
    onChange(listener: () => void): void {
        this.#onChange = listener;
    }
}
