/**
 * Detects that the upstream has crashed, and reports the requests that were in flight.
 *
 * Owns the probe that determines whether a run broke off because the upstream crashed. Which requests count as in
 * flight is decided by policy/failure/interruptedruns.ts.
 */
import { randomBytes } from "node:crypto";
import { isConnectError } from "../http/isconnecterror.js";
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import { log } from "../log/log.js";
import { InterruptedRuns } from "../policy/failure/interruptedruns.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";

const logger = log("gate");

/** All runs of a crashing upstream break off within this time, so that one probe covers them. */
const PROBE_DELAY_MS = 5;
/** Interval at which the probe budget is checked; a fraction of the time in which the budget gains a probe. */
const BUDGET_POLL_MS = 25;
/** Consecutive probes. If none of them is conclusive, a crash is neither confirmed nor ruled out. */
const MAX_PROBES = 4;
/** Long enough that no two crashes get the same id. */
const CRASH_ID_BYTES = 6;
/** Keeps the log line short when many requests were in flight. */
const MAX_LOGGED_REQUESTS = 32;

/** Dependencies and callbacks that the gate provides. */
type DetectorDependencies = {
    readonly upstream: string;
    readonly clock: Clock;
    /** Takes one probe from the budget; returns false if the budget is used up. */
    readonly mayProbe: () => boolean;
    /** Sends the upstream a probe; rejects with the connection's error if the connection fails. */
    readonly probe: () => Promise<void>;
    /** Called when a crash was detected, with the requests that were in flight. */
    readonly onCrash: (crashId: CrashId, requests: readonly RequestKey[]) => void;
};

/** Detects the crashes of one upstream, and of a successor with the same name. */
export class CrashDetector {
    readonly #brokenRuns = new InterruptedRuns();
    /** The id of the last crash; undefined while the upstream responds. */
    #crashId: CrashId | undefined;
    #isProbing = false;
    /** True if a run has broken off since the last probe. */
    #isProbeNeeded = false;

    constructor(private readonly deps: DetectorDependencies) {}

    /** Records a run that broke off, or that was cancelled before it had a response. */
    recordBrokenRun(request: RequestKey | undefined, isCancelled: boolean): void {
        if (request === undefined) {
            return;
        }
        this.#brokenRuns.record(request, isCancelled, this.deps.clock());
        if (!isCancelled) {
            void this.#probeUntilSettled();
        }
    }

    /** Records that the upstream has responded to a request sent at `sentAt`. */
    recordResponse(sentAt: number): void {
        this.#brokenRuns.recordResponse(sentAt);
        this.#crashId = undefined;
    }

    /** Records that nothing accepts connections at the upstream's address, or that another upstream has it. */
    recordUnreachable(): void {
        const requests = this.#brokenRuns.takeInProgress(this.deps.clock());
        if (requests.length === 0) {
            return;
        }
        this.#crashId ??= randomBytes(CRASH_ID_BYTES).toString("base64url") as CrashId;
        const { upstream, onCrash } = this.deps;
        logger.change("The upstream crashed with requests in flight.", {
            upstream,
            crash: this.#crashId,
            underWay: requests.length,
            requests: requests.slice(0, MAX_LOGGED_REQUESTS),
        });
        onCrash(this.#crashId, requests);
    }

    /**
     * Probes until a probe is conclusive. Runs that break off while a probe is in flight are covered by one more probe.
     */
    async #probeUntilSettled(): Promise<void> {
        this.#isProbeNeeded = true;
        if (this.#isProbing) {
            return;
        }
        this.#isProbing = true;
        for (let probes = 0; this.#isProbeNeeded && probes < MAX_PROBES; probes++) {
            await sleep(PROBE_DELAY_MS);
            await this.#waitForBudget();
            this.#isProbeNeeded = false;
            await this.#probe();
        }
        this.#isProbing = false;
    }

    async #waitForBudget(): Promise<void> {
        while (!this.deps.mayProbe()) {
            await sleep(BUDGET_POLL_MS);
        }
    }

    /**
     * The probe may still be sent on a connection that broke with the upstream. Its error is inconclusive then, and the
     * next probe opens a new connection.
     */
    async #probe(): Promise<void> {
        const sentAt = this.deps.clock();
        try {
            await this.deps.probe();
            this.recordResponse(sentAt);
        }
        catch (err) {
            if (isConnectError(err)) {
                this.recordUnreachable();
                return;
            }
            this.#isProbeNeeded = true;
            logger.warn("Could not determine whether the upstream has crashed.", err, {
                upstream: this.deps.upstream,
            });
        }
    }
}
