/**
 * Decides when a gate is pinged, and when an unresponsive gate becomes suspected.
 *
 * The inputs are the outstanding requests, the moments of responses and pings, and the upstream's service time; times
 * are milliseconds on the daemon's clock. Responses show that a gate is alive, so a gate is pinged only in these cases:
 * - It has outstanding requests and has not responded for an unusually long time.
 * - It is suspected; it is then pinged until it responds.
 * - It has responded to requests but never to a ping; it is then pinged now and then, to find out whether datagrams
 *   reach it.
 *
 * Pings that are not answered make a gate suspected only if it has responded to a ping before; otherwise, the datagrams
 * may be lost. A gate that has never responded to one is probed over a new connection too, and becomes suspected if it
 * shows no sign of life until the probe's timeout.
 */

/** Shorter delays occur now and then on the network and on busy hosts. */
const MIN_UNRESPONSIVE_MS = 150;
/** Multiple of the upstream's service time that a response may take before its gate counts as unresponsive. */
const SERVICE_TIME_FACTOR = 1.5;
/** Number of pings in a row that must go unanswered; one may be lost, because datagrams are unreliable. */
const MAX_UNANSWERED = 2;
/** Long enough for the response to a ping to pass through two busy processes. */
const PING_TIMEOUT_MS = 150;

/** Bounds the cost where datagrams are lost for good and requests last long: each probe opens a connection. */
const CONNECTION_PROBE_INTERVAL_MS = 1000;

/** Further facts about the gate; `serviceMs` is the upstream's last reported service time. */
type LivenessInput = {
    readonly outstanding: number;
    readonly serviceMs: number;
    /** True if the gate has responded to a ping before. */
    readonly respondsToPings: boolean;
    readonly isSuspected: boolean;
};

/**
 * The reason of a ping:
 * - `unanswered`: the gate did not respond to the previous ping.
 * - `suspected`: the gate is suspected.
 * - `silent`: the gate is unresponsive.
 * - `silent-unknown`: the same, and the gate has never responded to a ping; it is probed over a connection as well.
 *   Follows at most once a second.
 * - `never-asked`: the gate has never responded to a ping.
 */
type PingReason = "unanswered" | "suspected" | "silent" | "silent-unknown" | "never-asked";

/** The action to take at the gate. */
type LivenessAction =
    | { readonly type: "none"; }
    | { readonly type: "ping"; readonly why: PingReason; }
    | { readonly type: "suspect"; };

const NO_ACTION: LivenessAction = { type: "none" };

/** Holds the liveness of one gate, as far as requests to one upstream show it. */
export class LivenessCheck {
    #lastAliveAt: number | undefined;
    #outstandingSince: number | undefined;
    #pingedAt: number | undefined;
    #unansweredPings = 0;
    #connectionProbedAt = -Infinity;

    /** Records that a request was sent to the gate. */
    recordSent(now: number): void {
        this.#outstandingSince ??= now;
    }

    /** Records that no request is outstanding any more. */
    recordIdle(): void {
        this.#outstandingSince = undefined;
    }

    /** Records a response to a request or a ping; `outstanding` is the number of requests still outstanding. */
    recordAlive(outstanding: number, now: number): void {
        this.#lastAliveAt = now;
        this.#outstandingSince = outstanding > 0 ? now : undefined;
        this.#pingedAt = undefined;
        this.#unansweredPings = 0;
    }

    /** Records that a ping was sent. */
    recordPing(now: number): void {
        this.#pingedAt = now;
    }

    /** Records that a probe over a new connection was started. */
    recordConnectionProbe(now: number): void {
        this.#connectionProbedAt = now;
    }

    /** Returns true if the gate has responded to a request, a ping or a probe at or after `time`. */
    hasResponded(time: number): boolean {
        return this.#lastAliveAt !== undefined && this.#lastAliveAt >= time;
    }

    /** Returns true if nothing is to be decided until the next request is sent. */
    isIdle({ outstanding, respondsToPings, isSuspected }: LivenessInput): boolean {
        const isKnown = respondsToPings || this.#lastAliveAt === undefined;
        return outstanding === 0 && isKnown && !isSuspected && this.#pingedAt === undefined;
    }

    /** Returns what to do now; counts a ping that has timed out. */
    decide(input: LivenessInput, now: number): LivenessAction {
        if (this.#pingedAt !== undefined) {
            return now - this.#pingedAt > PING_TIMEOUT_MS ? this.#onPingTimeout(input, now) : NO_ACTION;
        }
        const isSilent = this.#isSilent(input, now);
        if (isSilent && !input.respondsToPings && now - this.#connectionProbedAt >= CONNECTION_PROBE_INTERVAL_MS) {
            return { type: "ping", why: "silent-unknown" };
        }
        if (input.isSuspected) {
            return { type: "ping", why: "suspected" };
        }
        if (isSilent) {
            return { type: "ping", why: "silent" };
        }
        return this.#lastAliveAt !== undefined && !input.respondsToPings
            ? { type: "ping", why: "never-asked" }
            : NO_ACTION;
    }

    #isSilent({ serviceMs }: LivenessInput, now: number): boolean {
        const unresponsiveMs = Math.max(MIN_UNRESPONSIVE_MS, SERVICE_TIME_FACTOR * serviceMs);
        return this.#outstandingSince !== undefined && now - this.#outstandingSince > unresponsiveMs;
    }

    #onPingTimeout({ outstanding, respondsToPings, isSuspected }: LivenessInput, now: number): LivenessAction {
        this.#pingedAt = undefined;
        this.#unansweredPings += 1;
        if (this.#unansweredPings < MAX_UNANSWERED && respondsToPings) {
            return { type: "ping", why: "unanswered" };
        }
        this.#unansweredPings = 0;
        if (!respondsToPings && isSuspected) {
            // Keeps the time since which a request is outstanding: the gate is pinged all the while.
            return NO_ACTION;
        }
        this.#outstandingSince = outstanding > 0 ? now : undefined;
        return respondsToPings ? { type: "suspect" } : NO_ACTION;
    }
}
