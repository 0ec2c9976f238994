/** Knows the pace of the upstream, and asks the upstream when its last report is too old to decide by. */
import { log } from "../log/log.js";
import type { Pace } from "../policy/failure/pace.js";
import { checkPace } from "../policy/failure/pacecheck.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** `mayAsk` spends one question from the budget; `ask` rejects when the upstream does not answer in time. */
type PaceProbeParts = {
    readonly clock: Clock;
    readonly pace: Pace;
    readonly mayAsk: () => boolean;
    readonly probe: () => Promise<void>;
};

/** Questions at the same time share one. */
export class PaceProbe {
    readonly #pace: Pace;
    #pending: Promise<boolean> | undefined;

    constructor(private readonly parts: PaceProbeParts) {
        this.#pace = parts.pace;
    }

    /** The last report; undefined of an upstream that never reports. */
    get last(): number | undefined {
        return this.#pace.last;
    }

    record(pace: number): void {
        this.#pace.observe(pace, this.parts.clock());
    }

    /** True when the request should go elsewhere, by a report that is fresh. */
    async shouldRedirect(request: Parameters<typeof checkPace>[1]): Promise<boolean> {
        const decision = checkPace(this.#pace, request, this.parts.clock());
        if (decision !== "ask") {
            return decision === "slow";
        }
        return await this.#probeIfAllowed() && request.choices > 0;
    }

    /** Asks the upstream, unless the budget is spent. */
    async refresh(): Promise<void> {
        await this.#probeIfAllowed();
    }

    /** Resolves with false when the budget is spent. */
    async #probeIfAllowed(): Promise<boolean> {
        if (this.#pending === undefined && !this.parts.mayAsk()) {
            return false;
        }
        this.#pending ??= this.#probe();
        return await this.#pending;
    }

    /** Resolves with whether the answer reports slow work; judged by the time of the question, so that a stall here ages no answer. */
    async #probe(): Promise<boolean> {
        const sentAt = this.parts.clock();
        try {
            await this.parts.probe();
            return this.#pace.isSlowSince(sentAt);
        }
        catch (err) {
            logger.warn("The upstream did not report its pace.", err);
            return false;
        }
        finally {
            this.#pending = undefined;
        }
    }
}
