/**
 * Finds out that the upstream has crashed, and with which requests under way.
 *
 * Owns the question that settles whether a run that broke off broke with its upstream. What counts as under way is decided by
 * policy/failure/brokenruns.ts.
 */
import { randomBytes } from "node:crypto";
import { isConnectError } from "../http/connecterror.js";
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import { log } from "../log/log.js";
import { BrokenRuns } from "../policy/failure/brokenruns.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";

const logger = log("gate");

/** All runs of an upstream that crashes break off within that time, so that one question settles them; milliseconds. */
const PROBE_DELAY_MS = 5;
/** How often it is looked whether there is budget for a question; milliseconds, a fraction of the time in which it comes. */
const BUDGET_POLL_MS = 25;
/** In a row: an upstream that answers none of them does not tell. */
const MAX_PROBES = 4;
/** Enough that no two crashes have the same. */
const CRASH_ID_BYTES = 6;
/** In one log line. */
const MAX_LOGGED_REQUESTS = 32;

/**
 * `mayAsk` spends a question; `ask` asks the upstream anything, and rejects as its connection does; `onCrash` is told of a crash and what
 * was under way.
 */
type DetectorParts = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly mayProbe: () => boolean;
    readonly probe: () => Promise<void>;
    readonly onCrash: (crashId: CrashId, requests: readonly RequestKey[]) => void;
};

/** Of one upstream, and of the next one in its place where that has the same name. */
export class CrashDetector {
    readonly #brokenRuns = new BrokenRuns();
    /** Of the crash that was found last; undefined while the upstream lives. */
    #crashId: CrashId | undefined;
    #isProbing = false;
    /** A run has broken off since the last question. */
    #isProbeNeeded = false;

    constructor(private readonly parts: DetectorParts) {}

    /** Records a run that broke off, or that was called off before it had an answer. */
    recordBrokenRun(request: RequestKey | undefined, isCancelled: boolean): void {
        if (request === undefined) {
            return;
        }
        this.#brokenRuns.record(request, isCancelled, this.parts.clock());
        if (!isCancelled) {
            void this.#probeUntilSettled();
        }
    }

    /** Records that the upstream has answered what was sent at this time. */
    recordResponse(sentAt: number): void {
        this.#brokenRuns.lived(sentAt);
        this.#crashId = undefined;
    }

    /** Records that nobody takes connections at the upstream's address, or that another upstream has it. */
    recordUnreachable(): void {
        const requests = this.#brokenRuns.takeUnderWay(this.parts.clock());
        if (requests.length === 0) {
            return;
        }
        this.#crashId ??= randomBytes(CRASH_ID_BYTES).toString("base64url") as CrashId;
        const { upstream, onCrash } = this.parts;
        logger.change("The upstream has crashed with requests under way.", {
            upstream,
            crash: this.#crashId,
            underWay: requests.length,
            requests: requests.slice(0, MAX_LOGGED_REQUESTS),
        });
        onCrash(this.#crashId, requests);
    }

    /** What breaks off while a question is under way is settled by one more. */
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
        while (!this.parts.mayProbe()) {
            await sleep(BUDGET_POLL_MS);
        }
    }

    /** A connection that broke with the upstream may still be taken for the question; the next one needs a new one. */
    async #probe(): Promise<void> {
        const sentAt = this.parts.clock();
        try {
            await this.parts.probe();
            this.recordResponse(sentAt);
        }
        catch (err) {
            if (isConnectError(err)) {
                this.recordUnreachable();
                return;
            }
            this.#isProbeNeeded = true;
            logger.warn("Whether the upstream has crashed is not known.", err, { upstream: this.parts.upstream });
        }
    }
}
