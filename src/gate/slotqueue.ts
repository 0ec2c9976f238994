/**
 * The queue in front of one gate's slots: who runs, who waits, and what becomes of those who never get a slot.
 *
 * Carries out what policy/admission decides; owns the timers of those who wait and the slots held for siblings' requests.
 */
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Admission } from "../policy/admission/admission.js";
import type { Ended } from "../policy/admission/ended.js";
import { waitLimit } from "../policy/admission/waitlimit.js";
import type { Reason } from "../policy/retry/reason.js";
import type { Clock } from "../time/clock.js";
import type { GateRefusals } from "./gaterefusals.js";
import type { GateRequest } from "./gaterequest.js";
import { Offers } from "./offers.js";

/** What the queue shares with its gate. */
type QueueParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly admission: Admission<GateRequest>;
    readonly refusals: GateRefusals;
    /** Asks the upstream for its pace, unless the budget is spent. */
    readonly refreshPace: () => Promise<void>;
    /** Asks the upstream whether it is cold, where it is time to; resolves with the answer. */
    readonly probeCold: () => Promise<void>;
};

/** A report of the pace that was just asked for is still believed at the next question; in milliseconds. */
const PACE_PROBE_INTERVAL_MS = 20;

/** What may not be sent yet is looked at again at the latest after this, in milliseconds: the upstream may take more by then. */
const MAX_RATE_CHECK_INTERVAL_MS = 50;

/** Every refusal is `not-run`, and the ledger sees to it that it stays so. */
export class SlotQueue {
    readonly offers: Offers;
    /** Runs while a slot is kept free until the upstream works faster. */
    #paceTimer: NodeJS.Timeout | undefined;
    /** Runs while what waits has a slot, and the upstream may be sent no more yet. */
    #rateTimer: NodeJS.Timeout | undefined;

    constructor(private readonly parts: QueueParts) {
        this.offers = new Offers(parts.admission);
    }

    /** Resolves when the request may run; rejects with a HopError when it is refused. */
    async enter(request: GateRequest): Promise<void> {
        const { admission, clock, refusals } = this.parts;
        const verdict = admission.arrive(request, clock(), this.offers.take(request.call.head.offer));
        if (verdict.type === "run") {
            return;
        }
        if (verdict.type === "refuse") {
            this.revoke(request);
            const { reason, retryAfterMs } = verdict.refusal;
            throw refusals.create(reason, { retryAfterMs });
        }
        this.#scheduleChecks();
        await this.#waitForSlot(request);
    }

    /** False when the request's deadline has passed or it was revoked meanwhile; then its slot is free again. */
    start(request: GateRequest): boolean {
        const { clock, ledger } = this.parts;
        const now = clock();
        if (now < request.deadline && (!request.once || ledger.start(request.call.head.id, now))) {
            return true;
        }
        this.releaseUnused(request);
        return false;
    }

    /** Frees the slot of a request that does not run after all. */
    releaseUnused(request: GateRequest): void {
        this.revoke(request);
        this.release(undefined);
    }

    /** Records that a request has ended, and lets the next ones run. */
    release(serviceMs: number | undefined, ended?: Ended): void {
        const { admission, clock } = this.parts;
        admission.finish(serviceMs, ended, clock());
        this.startNext();
    }

    /** Lets run what may run now. */
    startNext(): void {
        const { admission, clock, refusals } = this.parts;
        const { run, late } = admission.next(clock());
        for (const request of late) {
            this.revoke(request);
            request.refuse(refusals.create("deadline"));
        }
        for (const request of run) {
            request.grantSlot();
        }
        this.#scheduleChecks();
    }

    /** Hands waiting requests back to their ingresses, one for each offer that a sibling has made. */
    handBack(goTo: UpstreamName, offers: readonly string[]): number {
        const { admission, refusals } = this.parts;
        const ids = [...offers];
        const handedBack = admission.handBack(ids.length, request => request.canHandBack);
        for (const request of handedBack) {
            this.revoke(request);
            request.refuse(refusals.create("handed-back", { goTo, offer: ids.shift() }));
        }
        return handedBack.length;
    }

    /** Hands what waits and is picked back to its ingresses: it belongs elsewhere. */
    redirect(shouldRedirect: (request: GateRequest) => boolean): void {
        const { admission, refusals } = this.parts;
        for (const request of admission.handBack(Infinity, shouldRedirect)) {
            this.revoke(request);
            request.refuse(refusals.create("leaving"));
        }
    }

    /** Refuses what waits and is not served in time any more, since the upstream takes less than it did. */
    reevaluate(): void {
        const { admission, clock, refusals } = this.parts;
        for (const { item, refusal: { reason, retryAfterMs } } of admission.reconsider(clock())) {
            this.revoke(item);
            item.refuse(refusals.create(reason, { retryAfterMs }));
        }
    }

    /** Leaves a tombstone, so that a request that was refused can't run later. */
    revoke(request: GateRequest): void {
        if (request.once) {
            this.parts.ledger.revoke(request.call.head.id, request.ledgerDeadline, this.parts.clock());
        }
    }

    async #waitForSlot(request: GateRequest): Promise<void> {
        const { admission, clock } = this.parts;
        const { afterMs, reason } = waitLimit(request.maxWaitMs, request.deadline - clock());
        const timer = setTimeout(() => {
            const retryAfterMs = reason === "wait-too-long" ? admission.retryAfterMs(request, clock()) : undefined;
            this.#refuseQueued(request, reason, retryAfterMs);
        }, afterMs);
        const removeAbortListener = request.call.cancel.onAbort(() => this.#refuseQueued(request, "caller-left"));
        try {
            await request.waitForSlot();
        }
        finally {
            clearTimeout(timer);
            removeAbortListener();
        }
    }

    #scheduleChecks(): void {
        this.#schedulePaceProbe();
        this.#scheduleRateCheck();
    }

    /** Looks again when the next one may be sent, or when the upstream has said how cold it is. */
    #scheduleRateCheck(): void {
        const { admission, clock, probeCold } = this.parts;
        const opensAt = admission.opensAt(clock());
        if (this.#rateTimer !== undefined || opensAt === undefined) {
            return;
        }
        this.#rateTimer = setTimeout(() => {
            this.#rateTimer = undefined;
            this.startNext();
        }, Math.min(MAX_RATE_CHECK_INTERVAL_MS, Math.ceil(opensAt - clock())));
        void probeCold().then(() => {
            if (admission.opensAt(clock()) === undefined) {
                this.startNext();
            }
        });
    }

    /** Asks again and again while a slot is kept free; when nothing is known any more, what waits runs. */
    #schedulePaceProbe(): void {
        const { admission, clock, refreshPace } = this.parts;
        if (this.#paceTimer !== undefined || !admission.isWaitingForPace(clock())) {
            return;
        }
        this.#paceTimer = setTimeout(() => {
            void refreshPace().then(() => {
                this.#paceTimer = undefined;
                this.startNext();
            });
        }, PACE_PROBE_INTERVAL_MS);
    }

    /** Refuses a request that still waits: it has not run. */
    #refuseQueued(request: GateRequest, reason: Reason, retryAfterMs?: number): void {
        if (this.parts.admission.leave(request)) {
            this.revoke(request);
            request.refuse(this.parts.refusals.create(reason, { retryAfterMs }));
        }
    }
}
