/** What an ingress knows of one upstream. */
import type { Upstream } from "../config/upstream.js";
import type { Hop } from "../hop/hop.js";
import type { Cancel } from "../http/cancel.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Suspicion } from "../policy/failure/suspicion.js";
import type { Candidate } from "../policy/placement/candidate.js";
import type { LoadReport } from "../policy/placement/loadreport.js";
import type { AnswerNote } from "../wire/answernote.js";

const START_ROUND_TRIP_MS = 1;
const ROUND_TRIP_WEIGHT = 0.1;
const FAILURE_PENALTY_MS = 50;
const MAX_PENALTY_MS = 1000;
const PENALTY_DECAY = 0.7;
/** How long a gate that said it is leaving is left alone before it is asked again. */
const LEAVING_MS = 2000;
/** How long an upstream that its gate does not know (yet) is left alone. */
const ABSENT_MS = 100;
/** How long a gate whose daemon stops is left alone: longer than its idle connections last. */
const STOPPING_MS = 5000;

/** Holds the upstream's own word and this daemon's own count. */
export class Neighbour implements Candidate {
    own = 0;
    report: LoadReport | undefined;
    reportAt = 0;
    ownAtReport = 0;
    roundTripMs = START_ROUND_TRIP_MS;
    penaltyMs = 0;
    penaltyAt = 0;
    /** When the gate was last heard, and when the oldest unanswered request was sent. */
    heardAt = 0;
    silentSince: number | undefined;
    pingedAt: number | undefined;
    /** Pings in a row that were not answered. */
    unanswered = 0;
    readonly suspicion = new Suspicion();
    readonly #waiting = new Set<Cancel>();
    #leavingUntil = 0;

    /** `near`: in this daemon's own data hall; `local`: beside this daemon. */
    constructor(public settings: Upstream, readonly hop: Hop, readonly near: boolean, readonly local: boolean) {}

    get upstream(): UpstreamName {
        return this.settings.name;
    }

    get slots(): number {
        return this.settings.slots;
    }

    /** Why nothing should be sent there, undefined when it may. */
    unfit(now: number): "draining" | "leaving" | "suspected" | undefined {
        if (this.settings.draining) {
            return "draining";
        }
        if (now < this.#leavingUntil) {
            return "leaving";
        }
        return this.suspicion.active(now) ? "suspected" : undefined;
    }

    /** Counts a try; a repeatable one is given up when the gate falls silent. */
    begin(now: number, giveUp: Cancel | undefined): void {
        this.own += 1;
        this.suspicion.probe(now);
        this.silentSince ??= now;
        if (giveUp !== undefined) {
            this.#waiting.add(giveUp);
        }
    }

    end(giveUp: Cancel | undefined): void {
        this.own -= 1;
        if (this.own === 0) {
            this.silentSince = undefined;
        }
        if (giveUp !== undefined) {
            this.#waiting.delete(giveUp);
        }
    }

    /** Takes in any sign of life. */
    heard(now: number): void {
        this.heardAt = now;
        this.silentSince = this.own > 0 ? now : undefined;
        this.pingedAt = undefined;
        this.unanswered = 0;
        this.suspicion.clear();
    }

    /** Takes in a report. */
    observe(report: LoadReport | undefined, now: number): void {
        if (report !== undefined) {
            this.report = report;
            this.reportAt = now;
            this.ownAtReport = this.own;
        }
    }

    /** Takes in an answer's note; `elapsedMs` is from sending to the answer's head. */
    answered(note: AnswerNote | undefined, elapsedMs: number, now: number): void {
        this.heard(now);
        this.observe(note?.report, now);
        if (note?.tookMs !== undefined) {
            const roundTripMs = Math.max(0, elapsedMs - note.tookMs);
            this.roundTripMs += ROUND_TRIP_WEIGHT * (roundTripMs - this.roundTripMs);
        }
    }

    /** Takes in that an answer from there has taken `elapsedMs` and has not come: own evidence, fresher than a report. */
    lags(elapsedMs: number, now: number): void {
        if (this.report !== undefined && this.report.serviceMs < elapsedMs) {
            this.observe({ ...this.report, serviceMs: elapsedMs }, now);
        }
    }

    succeeded(): void {
        this.penaltyMs = this.penaltyMs < 1 ? 0 : this.penaltyMs * PENALTY_DECAY;
    }

    /** Takes in a failed answer: it counts as a slow one. */
    failed(now: number): void {
        this.penaltyAt = now;
        this.penaltyMs = Math.min(MAX_PENALTY_MS, this.penaltyMs + FAILURE_PENALTY_MS);
    }

    /** Takes in that the gate refused since it takes no new work. */
    leaves(now: number): void {
        this.#leaveAlone(now + LEAVING_MS);
    }

    /** Takes in that the gate knows no such upstream: it has just started, or the upstream has gone. */
    isAbsent(now: number): void {
        this.#leaveAlone(now + ABSENT_MS);
    }

    /** Takes in that the gate's daemon is about to stop. */
    stops(now: number): void {
        this.#leaveAlone(now + STOPPING_MS);
    }

    /** Takes in that the gate can't be reached or has fallen silent; repeatable tries there may be given up. */
    suspect(now: number, giveUp = true): void {
        this.suspicion.fail(now);
        if (giveUp) {
            this.#waiting.forEach(cancel => cancel.abort());
            this.#waiting.clear();
        }
    }

    #leaveAlone(until: number): void {
        this.#leavingUntil = Math.max(this.#leavingUntil, until);
    }
}
