/** Tracks whether the upstream is cold, and probes it before it is sent more requests than a cold upstream may get. */
import { log } from "../log/log.js";
import { ColdGuard } from "../policy/cold/coldguard.js";
import type { ColdLimits } from "../policy/cold/coldlimits.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** Dependencies that the gate provides. */
type ColdProbeDependencies = {
    readonly upstream: string;
    readonly clock: Clock;
    /** Returns the limits for cold upstreams of the service; undefined if it has none. */
    readonly limits: () => ColdLimits | undefined;
    /** Takes one probe from the budget; returns false if the budget is used up. */
    readonly mayProbe: () => boolean;
    /** Sends a probe; rejects if the upstream does not respond in time. */
    readonly probe: () => Promise<void>;
};

/** Tracks whether one upstream is cold; concurrent callers share one probe. */
export class ColdProbe {
    readonly guard: ColdGuard;
    #pending: Promise<void> | undefined;

    constructor(private readonly deps: ColdProbeDependencies) {
        this.guard = new ColdGuard(deps.clock(), deps.limits());
    }

    /** True while the upstream is cold, by its own report. */
    get isCold(): boolean {
        return this.guard.isCold(this.deps.clock());
    }

    /** Applies the limits that are now configured for the service. */
    updateLimits(): void {
        this.guard.setLimits(this.deps.limits());
    }

    /**
     * Records for how many more milliseconds the upstream is cold, by its response to a probe sent at `probedAt`;
     * undefined if it did not report that.
     */
    record(coldMs: number | undefined, probedAt: number): void {
        const wasCold = this.isCold;
        this.guard.recordProbeResponse(coldMs, probedAt, this.deps.clock());
        if (this.isCold !== wasCold) {
            const { upstream } = this.deps;
            logger.change(wasCold ? "The upstream is no longer cold." : "The upstream is cold.", { upstream, coldMs });
        }
    }

    /** Waits for a probe, if no more requests may be sent before the upstream has reported that it is not cold. */
    async waitUntilKnown(): Promise<void> {
        const probe = this.probeIfDue();
        const now = this.deps.clock();
        if (!this.guard.canSend(now) && !this.guard.isCold(now)) {
            await probe;
        }
    }

    /**
     * Sends a probe if one is due and the budget allows it. Resolves with the response, or at once if no probe is
     * pending.
     */
    async probeIfDue(): Promise<void> {
        const { clock, mayProbe } = this.deps;
        const now = clock();
        if (this.#pending === undefined && this.guard.shouldProbe(now) && mayProbe()) {
            this.guard.recordProbe(now);
            this.#pending = this.#probe().finally(() => this.#pending = undefined);
        }
        await this.#pending;
    }

    async #probe(): Promise<void> {
        try {
            await this.deps.probe();
        }
        catch (err) {
            const { upstream } = this.deps;
            logger.warn("The upstream did not report whether it is cold.", err, { upstream });
        }
    }
}
