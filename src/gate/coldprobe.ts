/** Knows whether the upstream is cold, and asks it before it may be sent no more while that is not known. */
import { log } from "../log/log.js";
import { ColdGuard } from "../policy/cold/coldguard.js";
import type { ColdLimits } from "../policy/cold/coldlimits.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** `mayAsk` spends one question from the budget; `ask` rejects when the upstream does not answer in time. */
type ColdProbeParts = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly limits: () => ColdLimits | undefined;
    readonly mayProbe: () => boolean;
    readonly probe: () => Promise<void>;
};

/** Questions at the same time share one. */
export class ColdProbe {
    readonly guard: ColdGuard;
    #pending: Promise<void> | undefined;

    constructor(private readonly parts: ColdProbeParts) {
        this.guard = new ColdGuard(parts.clock(), parts.limits());
    }

    /** True while the upstream is cold, as it has said. */
    get isCold(): boolean {
        return this.guard.isCold(this.parts.clock());
    }

    /** Applies what the configuration says of the service. */
    followService(): void {
        this.guard.setLimits(this.parts.limits());
    }

    /** Records what the upstream has said when it was asked at `askedAt`. */
    record(coldMs: number | undefined, probedAt: number): void {
        const wasCold = this.isCold;
        this.guard.recordAnswer(coldMs, probedAt, this.parts.clock());
        if (this.isCold !== wasCold) {
            const { upstream } = this.parts;
            logger.change(wasCold ? "The upstream is no longer cold." : "The upstream is cold.", { upstream, coldMs });
        }
    }

    /** Resolves at once, unless the upstream may be sent no more before it has said that it is not cold. */
    async waitUntilKnown(): Promise<void> {
        const probe = this.probeIfDue();
        const now = this.parts.clock();
        if (!this.guard.isOpen(now) && !this.guard.isCold(now)) {
            await probe;
        }
    }

    /** Asks where it is time to, under the budget; resolves with the answer, or at once where nothing is asked. */
    async probeIfDue(): Promise<void> {
        const { clock, mayProbe } = this.parts;
        const now = clock();
        if (this.#pending === undefined && this.guard.shouldAsk(now) && mayProbe()) {
            this.guard.recordQuestion(now);
            this.#pending = this.#probe().finally(() => this.#pending = undefined);
        }
        await this.#pending;
    }

    async #probe(): Promise<void> {
        try {
            await this.parts.probe();
        }
        catch (err) {
            const { upstream } = this.parts;
            logger.warn("The upstream did not say whether it is cold.", err, { upstream });
        }
    }
}
