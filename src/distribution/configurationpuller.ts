/**
 * Pulls newer revisions of the configuration from the peers that announce them.
 *
 * policy/distribution/pullschedule.ts decides from which peers and when; this module runs the pulls and owns the timer.
 */
import { decodeUpdate } from "../config/decodeupdate.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClient } from "../peer/peerclient.js";
import { Transfer } from "../peer/transfer.js";
import { PullSchedule } from "../policy/distribution/pullschedule.js";
import type { Clock } from "../time/clock.js";
import { createStepPause } from "../time/createsteppause.js";
import { sleep } from "../time/sleep.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";

const logger = log("config");

/** Longest time for which a request waits for a newer configuration: a call to a peer and a margin. */
const REQUEST_WAIT_MS = 250;

/** Waits for a revision, or until no peer is left to ask. */
type Waiter = { readonly revision: number; readonly resolve: () => void; };

/** Keeps no pull running longer than the time limit of its call. */
export class ConfigurationPuller {
    readonly #schedule = new PullSchedule();
    #waiters: Waiter[] = [];
    #timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly configuration: CurrentConfiguration,
        private readonly peer: PeerClient,
        private readonly metrics: Metrics,
        private readonly clock: Clock,
    ) {}

    /**
     * Pulls from the peer `from`, or from another one that has the revision, if `revision` is newer. Resolves when it is
     * in force, and when no peer is left to ask; never rejects.
     */
    pull(revision: number, from: Address): Promise<void> {
        if (revision <= this.configuration.revision) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#waiters.push({ revision, resolve });
            this.#schedule.announce(from, revision, this.clock());
            this.#advance();
        });
    }

    /** Pulls as `pull` does, but resolves after REQUEST_WAIT_MS at the latest, because a request waits for it. */
    async pullForRequest(revision: number, from: Address | undefined): Promise<void> {
        if (revision > this.configuration.revision && from !== undefined) {
            await Promise.race([this.pull(revision, from), sleep(REQUEST_WAIT_MS)]);
        }
    }

    /** Starts the pulls that are due, and sets the timer for the next one. */
    #advance(): void {
        const now = this.clock();
        const { revision } = this.configuration;
        for (let peer = this.#schedule.start(revision, now); peer !== undefined;) {
            void this.#pullFrom(peer);
            peer = this.#schedule.start(revision, now);
        }
        this.#resolveWaiters(revision);
        clearTimeout(this.#timer);
        const nextAt = this.#schedule.nextStartAt(now);
        this.#timer = nextAt === undefined ? undefined : setTimeout(() => this.#advance(), nextAt - now + 1);
    }

    #resolveWaiters(revisionInForce: number): void {
        const { isIdle } = this.#schedule;
        const isOver = ({ revision }: Waiter): boolean => isIdle || revision <= revisionInForce;
        const over = this.#waiters.filter(isOver);
        this.#waiters = this.#waiters.filter(waiter => !isOver(waiter));
        over.forEach(({ resolve }) => resolve());
    }

    async #pullFrom(peer: Address): Promise<void> {
        const isSuccessful = await this.#tryPull(peer);
        this.#schedule.end(peer, isSuccessful, this.clock());
        this.#advance();
    }

    /** Returns true if the peer has responded, also with no newer revision; logs the error otherwise. */
    async #tryPull(peer: Address): Promise<boolean> {
        const before = this.configuration.revision;
        const startedAt = this.clock();
        const transfer = new Transfer(() => this.#schedule.recordResponse(peer));
        const describe = (): object => ({
            peer,
            before,
            bytes: transfer.bytes,
            tookMs: Math.round(this.clock() - startedAt),
        });
        try {
            const update = await this.peer.update(peer, before, transfer);
            const receivedMs = Math.round(this.clock() - startedAt);
            await this.#apply(update);
            const outcome = this.configuration.revision > before ? "newer" : "not-newer";
            this.metrics.configuration.recordPull(outcome, this.clock() - startedAt);
            logger.change("An update of the configuration was pulled from a peer.", {
                revision: this.configuration.revision,
                ...describe(),
                receivedMs,
            });
            return true;
        }
        catch (err) {
            this.metrics.configuration.recordPull("failed", this.clock() - startedAt);
            logger.warn("Pulling a newer configuration from a peer failed.", err, describe());
            return false;
        }
        finally {
            this.metrics.countControlTraffic("pull", transfer.bytes);
        }
    }

    async #apply(update: Awaited<ReturnType<PeerClient["update"]>>): Promise<void> {
        if (update !== undefined) {
            const pause = createStepPause(this.clock);
            const decoded = await decodeUpdate(update, pause);
            await pause();
            this.configuration.applyUpdate(decoded);
        }
    }
}
