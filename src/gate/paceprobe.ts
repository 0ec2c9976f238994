/** Tracks the pace of the upstream, and asks the upstream for it if the last report is stale. */
import { log } from "../log/log.js";
import { checkPace } from "../policy/failure/checkpace.js";
import type { Pace } from "../policy/failure/pace.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** Dependencies that the gate provides. */
type PaceProbeDependencies = {
    readonly clock: Clock;
    readonly pace: Pace;
    /** Takes one probe from the budget; returns false if the budget is used up. */
    readonly mayProbePace: () => boolean;
    /** Asks the upstream for its pace; rejects if it does not respond in time. */
    readonly probe: () => Promise<void>;
};

/** Tracks the pace of one upstream; concurrent callers share one probe. */
export class PaceProbe {
    readonly #pace: Pace;
    #pending: Promise<boolean> | undefined;

    constructor(private readonly deps: PaceProbeDependencies) {
        this.#pace = deps.pace;
    }

    /** The pace that was reported last; undefined if the upstream never reports one. */
    get lastPace(): number | undefined {
        return this.#pace.lastReported;
    }

    record(pace: number): void {
        this.#pace.observe(pace, this.deps.clock());
    }

    /** Returns true if a fresh report shows that the upstream is slow and the request should go elsewhere. */
    async shouldRedirect(request: Parameters<typeof checkPace>[1]): Promise<boolean> {
        const decision = checkPace(this.#pace, request, this.deps.clock());
        if (decision !== "ask") {
            return decision === "slow";
        }
        return await this.#probeIfAllowed() && request.choices > 0;
    }

    /** Asks the upstream for its pace, unless the probe budget is used up. */
    async refresh(): Promise<void> {
        await this.#probeIfAllowed();
    }

    /** Resolves with whether the upstream reports to be slow; with false if the probe budget is used up. */
    async #probeIfAllowed(): Promise<boolean> {
        if (this.#pending === undefined && !this.deps.mayProbePace()) {
            return false;
        }
        this.#pending ??= this.#probe();
        return await this.#pending;
    }

    /**
     * Resolves with whether the upstream reports to be slow. Any report since the probe was sent counts as fresh, so
     * that a stall of this process does not make the response stale.
     */
    async #probe(): Promise<boolean> {
        const sentAt = this.deps.clock();
        try {
            await this.deps.probe();
            return this.#pace.isSlowSince(sentAt);
        }
        catch (err) {
            logger.warn("The upstream did not report its pace; it is not treated as slow.", err);
            return false;
        }
        finally {
            this.#pending = undefined;
        }
    }
}
