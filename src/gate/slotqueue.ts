/**
 * Queues requests for the slots of one gate.
 *
 * Applies the decisions of policy/admission. Owns the timers of queued requests and the slots that are reserved for
 * siblings' requests.
 */
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Admission } from "../policy/admission/admission.js";
import type { FinishedRequest } from "../policy/admission/finishedrequest.js";
import { waitLimit } from "../policy/admission/waitlimit.js";
import type { Reason } from "../policy/retry/reason.js";
import type { Clock } from "../time/clock.js";
import type { GateRefusals } from "./gaterefusals.js";
import type { GateRequest } from "./gaterequest.js";
import { Offers } from "./offers.js";

/** Dependencies that the gate provides. */
type QueueDependencies = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly admission: Admission<GateRequest>;
    readonly refusals: GateRefusals;
    /** Asks the upstream for its pace, unless the probe budget is used up. */
    readonly refreshPace: () => Promise<void>;
    /** Asks the upstream whether it is cold if a probe is due; resolves with the response. */
    readonly probeCold: () => Promise<void>;
};

/** Shorter than the time for which a pace report is fresh, so that a report lasts until the next probe. */
const PACE_PROBE_INTERVAL_MS = 20;

/**
 * Longest interval at which the send rate is checked again while requests are held back: the upstream may accept more
 * by then.
 */
const MAX_RATE_CHECK_INTERVAL_MS = 50;

/**
 * Queues requests until they may run. The outcome of every refusal is `not-run`; the ledger prevents a refused request
 * from running later.
 */
export class SlotQueue {
    readonly offers: Offers;
    /** Set while a slot is kept free until the upstream is faster. */
    #paceTimer: NodeJS.Timeout | undefined;
    /** Set while a queued request has a slot but the upstream may not be sent more yet. */
    #rateTimer: NodeJS.Timeout | undefined;

    constructor(private readonly deps: QueueDependencies) {
        this.offers = new Offers(deps.admission);
    }

    /** Resolves when the request may run; rejects with a HopError if it is refused. */
    async enter(request: GateRequest): Promise<void> {
        const { admission, clock, refusals } = this.deps;
        const verdict = admission.admit(request, clock(), this.offers.take(request.call.head.offer));
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

    /**
     * Returns false and frees the slot if the request's deadline has passed, or if it was revoked while it was queued.
     */
    start(request: GateRequest): boolean {
        const { clock, ledger } = this.deps;
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

    /**
     * Records that a request has ended and starts the next ones. `serviceMs` is undefined if the run shows no service
     * time of the upstream.
     */
    release(serviceMs: number | undefined, ended?: FinishedRequest): void {
        const { admission, clock } = this.deps;
        admission.recordFinished(serviceMs, ended, clock());
        this.startNext();
    }

    /** Starts the queued requests that may run now, and refuses those whose deadline has passed. */
    startNext(): void {
        const { admission, clock, refusals } = this.deps;
        const { run, expired } = admission.dequeue(clock());
        for (const request of expired) {
            this.revoke(request);
            request.refuse(refusals.create("deadline"));
        }
        for (const request of run) {
            request.grantSlot();
        }
        this.#scheduleChecks();
    }

    /**
     * Hands queued requests back to their ingresses, one for each slot that the sibling `goTo` offers, and returns
     * their number.
     */
    handBack(goTo: UpstreamName, offers: readonly string[]): number {
        const { admission, refusals } = this.deps;
        const ids = [...offers];
        const handedBack = admission.handBack(ids.length, request => request.canHandBack);
        for (const request of handedBack) {
            this.revoke(request);
            request.refuse(refusals.create("handed-back", { goTo, offer: ids.shift() }));
        }
        return handedBack.length;
    }

    /** Hands back the queued requests for which `shouldRedirect` returns true, to be served elsewhere. */
    redirect(shouldRedirect: (request: GateRequest) => boolean): void {
        const { admission, refusals } = this.deps;
        for (const request of admission.handBack(Infinity, shouldRedirect)) {
            this.revoke(request);
            request.refuse(refusals.create("leaving"));
        }
    }

    /**
     * Refuses the queued requests that can no longer be served in time, after the upstream has lowered its rate limit.
     */
    reevaluate(): void {
        const { admission, clock, refusals } = this.deps;
        for (const { item, refusal: { reason, retryAfterMs } } of admission.reevaluate(clock())) {
            this.revoke(item);
            item.refuse(refusals.create(reason, { retryAfterMs }));
        }
    }

    /** Leaves a tombstone in the ledger, so that a refused `once` request cannot run later. */
    revoke(request: GateRequest): void {
        if (request.once) {
            this.deps.ledger.revoke(request.call.head.id, request.ledgerDeadline, this.deps.clock());
        }
    }

    async #waitForSlot(request: GateRequest): Promise<void> {
        const { admission, clock } = this.deps;
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

    /**
     * Starts queued requests again when the send rate allows the next one, or when a cold probe shows that it does
     * already.
     */
    #scheduleRateCheck(): void {
        const { admission, clock, probeCold } = this.deps;
        const opensAt = admission.nextSendAt(clock());
        if (this.#rateTimer !== undefined || opensAt === undefined) {
            return;
        }
        this.#rateTimer = setTimeout(() => {
            this.#rateTimer = undefined;
            this.startNext();
        }, Math.min(MAX_RATE_CHECK_INTERVAL_MS, Math.ceil(opensAt - clock())));
        void probeCold().then(() => {
            if (admission.nextSendAt(clock()) === undefined) {
                this.startNext();
            }
        });
    }

    /**
     * Probes the pace repeatedly while a slot is kept free. Queued requests run once no fresh report shows a slow
     * upstream.
     */
    #schedulePaceProbe(): void {
        const { admission, clock, refreshPace } = this.deps;
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

    /** Refuses a request that is still queued, and thus has not run. */
    #refuseQueued(request: GateRequest, reason: Reason, retryAfterMs?: number): void {
        if (this.deps.admission.remove(request)) {
            this.revoke(request);
            request.refuse(this.deps.refusals.create(reason, { retryAfterMs }));
        }
    }
}
