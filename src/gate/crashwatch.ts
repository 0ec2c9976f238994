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
const ASK_AFTER_MS = 5;
/** How often it is looked whether there is budget for a question; milliseconds, a fraction of the time in which it comes. */
const BUDGET_LOOK_MS = 25;
/** In a row: an upstream that answers none of them does not tell. */
const MAX_QUESTIONS = 4;
/** Enough that no two crashes have the same. */
const ID_BYTES = 6;
/** In one log line. */
const MAX_LOGGED = 32;

/**
 * `mayAsk` spends a question; `ask` asks the upstream anything, and rejects as its connection does; `onCrash` is told of a crash and what
 * was under way.
 */
type WatchParts = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly mayAsk: () => boolean;
    readonly ask: () => Promise<void>;
    readonly onCrash: (crash: CrashId, requests: readonly RequestKey[]) => void;
};

/** Of one upstream, and of the next one in its place where that has the same name. */
export class CrashWatch {
    readonly #broken = new BrokenRuns();
    /** Of the crash that was found last; undefined while the upstream lives. */
    #crash: CrashId | undefined;
    #isAsking = false;
    /** A run has broken off since the last question. */
    #isUnsettled = false;

    constructor(private readonly parts: WatchParts) {}

    /** Records a run that broke off, or that was called off before it had an answer. */
    ended(request: RequestKey | undefined, calledOff: boolean): void {
        if (request === undefined) {
            return;
        }
        this.#broken.record(request, calledOff, this.parts.clock());
        if (!calledOff) {
            void this.#settle();
        }
    }

    /** Records that the upstream has answered what was sent at this time. */
    lived(sentAt: number): void {
        this.#broken.lived(sentAt);
        this.#crash = undefined;
    }

    /** Records that nobody takes connections at the upstream's address, or that another upstream has it. */
    gone(): void {
        const requests = this.#broken.takeUnderWay(this.parts.clock());
        if (requests.length === 0) {
            return;
        }
        this.#crash ??= randomBytes(ID_BYTES).toString("base64url") as CrashId;
        const { upstream, onCrash } = this.parts;
        logger.change("The upstream has crashed with requests under way.", {
            upstream,
            crash: this.#crash,
            underWay: requests.length,
            requests: requests.slice(0, MAX_LOGGED),
        });
        onCrash(this.#crash, requests);
    }

    /** What breaks off while a question is under way is settled by one more. */
    async #settle(): Promise<void> {
        this.#isUnsettled = true;
        if (this.#isAsking) {
            return;
        }
        this.#isAsking = true;
        for (let asked = 0; this.#isUnsettled && asked < MAX_QUESTIONS; asked++) {
            await sleep(ASK_AFTER_MS);
            await this.#waitForBudget();
            this.#isUnsettled = false;
            await this.#ask();
        }
        this.#isAsking = false;
    }

    async #waitForBudget(): Promise<void> {
        while (!this.parts.mayAsk()) {
            await sleep(BUDGET_LOOK_MS);
        }
    }

    /** A connection that broke with the upstream may still be taken for the question; the next one needs a new one. */
    async #ask(): Promise<void> {
        const askedAt = this.parts.clock();
        try {
            await this.parts.ask();
            this.lived(askedAt);
        }
        catch (err) {
            if (isConnectError(err)) {
                this.gone();
                return;
            }
            this.#isUnsettled = true;
            logger.warn("Whether the upstream has crashed is not known.", err, { upstream: this.parts.upstream });
        }
    }
}
