/**
 * The state of one upstream as seen by an ingress: its gate's load reports, this daemon's own counts, and its
 * availability.
 *
 * Holds state only; the decisions are made in src/policy (placement, failure). Times are milliseconds on the daemon's
 * clock.
 */
import type { Upstream } from "../config/upstream.js";
import type { Hop } from "../hop/hop.js";
import type { Cancellation } from "../http/cancellation.js";
import type { RegionName } from "../ids/regionname.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { LivenessCheck } from "../policy/failure/livenesscheck.js";
import { Suspicion } from "../policy/failure/suspicion.js";
import type { Availability } from "../policy/placement/availability.js";
import type { Candidate } from "../policy/placement/candidate.js";
import { Exclusion } from "../policy/placement/exclusion.js";
import { FailurePenalty } from "../policy/placement/failurepenalty.js";
import { FullBackoff } from "../policy/placement/fullbackoff.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { RateShare } from "../policy/placement/rateshare.js";
import { RoundTrip } from "../policy/placement/roundtrip.js";
import type { Selectable } from "../policy/placement/selectable.js";
import { withMinServiceTime } from "../policy/placement/withminservicetime.js";
import type { ReasonFacts } from "../policy/retry/reasonfacts.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import type { UpstreamViewDependencies } from "./upstreamviewdependencies.js";

/** Tracks one upstream; created for each upstream of a service that requests are sent to. */
export class UpstreamView implements Candidate, Selectable {
    /** The number of this daemon's requests at the upstream that have not ended. */
    outstanding = 0;
    report: LoadReport | undefined;
    reportedAt = 0;
    outstandingAtReport = 0;
    readonly livenessCheck = new LivenessCheck();
    readonly suspicion = new Suspicion();
    readonly #avoidance = new Exclusion();
    readonly #coldAvoidance = new Exclusion();
    readonly #fullness = new FullBackoff();
    readonly #rateShare = new RateShare();
    readonly #penalty = new FailurePenalty();
    readonly #roundTrip: RoundTrip;
    /** Attempts to cancel when the gate becomes unresponsive. */
    readonly #cancellable = new Set<Cancellation>();

    constructor(public settings: Upstream, private readonly deps: UpstreamViewDependencies) {
        const { sameRegion, regionRoundTrips } = deps;
        this.#roundTrip = new RoundTrip(
            sameRegion ? undefined : {
                estimateMs: () => regionRoundTrips.estimateMs(this.settings),
                observe: ms => regionRoundTrips.observe(this.settings, ms),
            },
        );
        this.#rateShare.setLimit(this.limitPerSecond, -Infinity);
    }

    get hop(): Hop {
        return this.deps.hop;
    }

    get sameHall(): boolean {
        return this.deps.sameHall;
    }

    get sameRegion(): boolean {
        return this.deps.sameRegion;
    }

    get region(): RegionName {
        return this.settings.region;
    }

    get local(): boolean {
        return this.deps.local;
    }

    get upstream(): UpstreamName {
        return this.settings.name;
    }

    get slots(): number {
        return this.settings.slots;
    }

    /** The stated rate limit in requests per second, as known to this daemon; undefined if the upstream states none. */
    get limitPerSecond(): number | undefined {
        return this.deps.statements.limitPerSecond(this.upstream);
    }

    /** True if the upstream has stated to this daemon that it leaves permanently. */
    get isLeavingPermanently(): boolean {
        return this.deps.statements.isLeavingPermanently(this.upstream);
    }

    get roundTripMs(): number {
        return this.#roundTrip.ms;
    }

    get penaltyMs(): number {
        return this.#penalty.ms;
    }

    get lastFailureAt(): number {
        return this.#penalty.lastFailureAt;
    }

    availability(now: number): Availability {
        if (this.settings.draining) {
            return "draining";
        }
        if (this.deps.isEvacuated()) {
            return "evacuated";
        }
        if (this.isLeavingPermanently || this.#avoidance.isActive(now)) {
            return "leaving";
        }
        if (this.suspicion.isActive(now)) {
            return "suspected";
        }
        if (this.#coldAvoidance.isActive(now)) {
            return "cold";
        }
        if (!this.#rateShare.maySend(now)) {
            return "limited";
        }
        return this.#fullness.isActive(now) ? "full" : "available";
    }

    /** True if the next request should go to this upstream to find out whether its stated rate limit has ended. */
    isRateProbeDue(now: number): boolean {
        return this.#rateShare.isProbeDue(now);
    }

    /** Counts an attempt; `cancel`, if given, is called when the gate becomes unresponsive. */
    attemptStarted(now: number, cancel: Cancellation | undefined): void {
        this.outstanding += 1;
        this.suspicion.recordProbe(now);
        this.livenessCheck.recordSent(now);
        this.#rateShare.recordSent(now);
        this.deps.onSent(this);
        if (cancel !== undefined) {
            this.#cancellable.add(cancel);
        }
    }

    attemptEnded(cancel: Cancellation | undefined): void {
        this.outstanding -= 1;
        if (this.outstanding === 0) {
            this.livenessCheck.recordIdle();
        }
        if (cancel !== undefined) {
            this.#cancellable.delete(cancel);
        }
    }

    /** Records that the gate has responded. */
    recordAlive(now: number): void {
        this.livenessCheck.recordAlive(this.outstanding, now);
        this.suspicion.clear();
    }

    recordReport(report: LoadReport | undefined, now: number): void {
        if (report !== undefined) {
            this.report = report;
            this.reportedAt = now;
            this.outstandingAtReport = this.outstanding;
        }
    }

    /** Records the metadata of a gate's own refusal. */
    recordRefusalMetadata(metadata: ResponseMetadata, now: number): void {
        this.recordAlive(now);
        this.recordReport(metadata.report, now);
        this.deps.statements.recordRefusal(this.upstream, metadata);
        this.#rateShare.setLimit(this.limitPerSecond, now);
    }

    /** Records the metadata of an upstream's response; `elapsedMs` is the time from sending to the response's head. */
    recordResponse(metadata: ResponseMetadata | undefined, elapsedMs: number, now: number): void {
        this.recordAlive(now);
        this.recordReport(metadata?.report, now);
        if (metadata !== undefined) {
            this.deps.statements.recordResponse(this.upstream, metadata);
        }
        this.#rateShare.setLimit(this.limitPerSecond, now);
        this.#rateShare.recordResponse();
        if (metadata?.tookMs !== undefined) {
            this.#roundTrip.observe(elapsedMs, metadata.tookMs);
        }
    }

    /**
     * Records that a response has not arrived after `elapsedMs`: raises the service time of the last load report to at
     * least that, since the delay is newer evidence than the report.
     */
    recordOverdue(elapsedMs: number, now: number): void {
        if (this.report !== undefined && withMinServiceTime(this.report, elapsedMs) !== this.report) {
            this.recordReport(withMinServiceTime(this.report, elapsedMs), now);
        }
    }

    recordSuccess(): void {
        this.#penalty.recordSuccess();
        this.#fullness.recordServed();
    }

    recordFailure(now: number): void {
        this.#penalty.recordFailure(now);
    }

    /** Records that the gate's daemon is shutting down. */
    recordStopping(now: number): void {
        this.#avoidance.start("stopping", now);
    }

    /** Records the effect of a refusal's reason on the upstream's availability. */
    recordRefusal(effect: ReasonFacts["upstreamEffect"], now: number): void {
        switch (effect) {
            case "none":
                return;
            case "full":
                return this.#fullness.recordRefusal(now);
            case "cold":
                return this.#coldAvoidance.start(effect, now);
            case "limited":
                return this.#rateShare.recordRefusal(now);
            case "leaving":
            case "absent":
                return this.#avoidance.start(effect, now);
            case "suspected":
                return this.suspect(now);
        }
    }

    /**
     * Records that the gate is unreachable or unresponsive; with `cancelAttempts`, also cancels its cancellable
     * attempts.
     */
    suspect(now: number, cancelAttempts = true): void {
        this.suspicion.recordFailure(now);
        if (cancelAttempts) {
            this.#cancellable.forEach(cancel => cancel.abort());
            this.#cancellable.clear();
        }
    }
}
