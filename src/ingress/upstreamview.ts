/**
 * What an ingress knows of one upstream: what its gate reported, what this daemon counts itself, and what follows for placement.
 *
 * Holds the state; the rules are in src/policy (placement, failure). Times are milliseconds on the daemon's clock.
 */
import type { Upstream } from "../config/upstream.js";
import type { Hop } from "../hop/hop.js";
import type { Cancel } from "../http/cancel.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Silence } from "../policy/failure/silence.js";
import { Suspicion } from "../policy/failure/suspicion.js";
import { atLeast } from "../policy/placement/atleast.js";
import type { Availability } from "../policy/placement/availability.js";
import { Avoidance } from "../policy/placement/avoidance.js";
import type { Candidate } from "../policy/placement/candidate.js";
import { FailurePenalty } from "../policy/placement/failurepenalty.js";
import { Fullness } from "../policy/placement/fullness.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import { RateShare } from "../policy/placement/rateshare.js";
import { RoundTrip } from "../policy/placement/roundtrip.js";
import type { Selectable } from "../policy/placement/selectable.js";
import type { ReasonFacts } from "../policy/retry/reasonfacts.js";
import type { AnswerNote } from "../wire/answernote.js";
import type { UpstreamStatements } from "./upstreamstatements.js";

/** `near`: in this daemon's own data hall; `local`: beside this daemon; `onSent` is called with each request that is sent. */
type ViewParts = {
    readonly hop: Hop;
    readonly near: boolean;
    readonly local: boolean;
    /** Whether operators have evacuated its hall. */
    readonly isEvacuated: () => boolean;
    readonly statements: UpstreamStatements;
    readonly onSent: (view: UpstreamView) => void;
};

/** One for each upstream of a service that requests are sent to. */
export class UpstreamView implements Candidate, Selectable {
    /** Requests of this daemon that were sent there and have not ended. */
    outstanding = 0;
    report: LoadReport | undefined;
    reportAt = 0;
    outstandingAtReport = 0;
    readonly silence = new Silence();
    readonly suspicion = new Suspicion();
    readonly #avoidance = new Avoidance();
    readonly #coldness = new Avoidance();
    readonly #fullness = new Fullness();
    readonly #rateShare = new RateShare();
    readonly #penalty = new FailurePenalty();
    readonly #roundTrip = new RoundTrip();
    /** Attempts that may be given up when the gate falls silent. */
    readonly #abandonable = new Set<Cancel>();

    constructor(public settings: Upstream, private readonly way: ViewParts) {
        this.#rateShare.follow(this.limitPerSecond, -Infinity);
    }

    get hop(): Hop {
        return this.way.hop;
    }

    get near(): boolean {
        return this.way.near;
    }

    get local(): boolean {
        return this.way.local;
    }

    get upstream(): UpstreamName {
        return this.settings.name;
    }

    get slots(): number {
        return this.settings.slots;
    }

    /** Requests a second that it takes, as it has stated to this daemon; undefined where it states no limit. */
    get limitPerSecond(): number | undefined {
        return this.way.statements.limitPerSecond(this.upstream);
    }

    /** True when it has said to this daemon that it leaves for good. */
    get isEnding(): boolean {
        return this.way.statements.isEnding(this.upstream);
    }

    get roundTripMs(): number {
        return this.#roundTrip.ms;
    }

    get penaltyMs(): number {
        return this.#penalty.ms;
    }

    get penaltyAt(): number {
        return this.#penalty.at;
    }

    availability(now: number): Availability {
        if (this.settings.draining) {
            return "draining";
        }
        if (this.way.isEvacuated()) {
            return "evacuated";
        }
        if (this.isEnding || this.#avoidance.isActive(now)) {
            return "leaving";
        }
        if (this.suspicion.active(now)) {
            return "suspected";
        }
        if (this.#coldness.isActive(now)) {
            return "cold";
        }
        if (!this.#rateShare.isOpen(now)) {
            return "limited";
        }
        return this.#fullness.isActive(now) ? "full" : "available";
    }

    /** True when it should be sent the next request, so that the end of the limit that it states is learnt. */
    isDue(now: number): boolean {
        return this.#rateShare.isDue(now);
    }

    /** Counts an attempt; `cancel` gives up one that may be given up when the gate falls silent. */
    attemptStarted(now: number, cancel: Cancel | undefined): void {
        this.outstanding += 1;
        this.suspicion.probe(now);
        this.silence.sent(now);
        this.#rateShare.recordSent(now);
        this.way.onSent(this);
        if (cancel !== undefined) {
            this.#abandonable.add(cancel);
        }
    }

    attemptEnded(cancel: Cancel | undefined): void {
        this.outstanding -= 1;
        if (this.outstanding === 0) {
            this.silence.settled();
        }
        if (cancel !== undefined) {
            this.#abandonable.delete(cancel);
        }
    }

    /** Records a sign of life. */
    recordAlive(now: number): void {
        this.silence.heard(this.outstanding, now);
        this.suspicion.clear();
    }

    recordReport(report: LoadReport | undefined, now: number): void {
        if (report !== undefined) {
            this.report = report;
            this.reportAt = now;
            this.outstandingAtReport = this.outstanding;
        }
    }

    /** Records the note of a gate's own refusal, where there is one. */
    recordRefusalNote(note: AnswerNote, now: number): void {
        this.recordAlive(now);
        this.recordReport(note.report, now);
        this.way.statements.recordRefusal(this.upstream, note);
        this.#rateShare.follow(this.limitPerSecond, now);
    }

    /** Records the note of an upstream's answer; `elapsedMs` is from sending to the answer's head. */
    recordAnswer(note: AnswerNote | undefined, elapsedMs: number, now: number): void {
        this.recordAlive(now);
        this.recordReport(note?.report, now);
        if (note !== undefined) {
            this.way.statements.recordAnswer(this.upstream, note);
        }
        this.#rateShare.follow(this.limitPerSecond, now);
        this.#rateShare.recordAnswer();
        if (note?.tookMs !== undefined) {
            this.#roundTrip.observe(elapsedMs, note.tookMs);
        }
    }

    /** Records that an answer has taken `elapsedMs` and has not come: evidence of its own, fresher than a report. */
    recordOverdue(elapsedMs: number, now: number): void {
        if (this.report !== undefined && atLeast(this.report, elapsedMs) !== this.report) {
            this.recordReport(atLeast(this.report, elapsedMs), now);
        }
    }

    recordSuccess(): void {
        this.#penalty.succeeded();
        this.#fullness.served();
    }

    recordFailure(now: number): void {
        this.#penalty.failed(now);
    }

    /** Records that the gate's daemon is about to stop. */
    recordStopping(now: number): void {
        this.#avoidance.avoid("stopping", now);
    }

    /** Records what the reason of a refusal says of the upstream. */
    recordRefusal(effect: ReasonFacts["upstream"], now: number): void {
        switch (effect) {
            case "none":
                return;
            case "full":
                return this.#fullness.turnedAway(now);
            case "cold":
                return this.#coldness.avoid(effect, now);
            case "limited":
                return this.#rateShare.recordRefusal(now);
            case "leaving":
            case "absent":
                return this.#avoidance.avoid(effect, now);
            case "suspected":
                return this.suspect(now);
        }
    }

    /** Records that the gate can't be reached or has fallen silent; attempts there may be given up. */
    suspect(now: number, giveUp = true): void {
        this.suspicion.fail(now);
        if (giveUp) {
            this.#abandonable.forEach(cancel => cancel.abort());
            this.#abandonable.clear();
        }
    }
}
