/**
 * Decides from which peers to pull the configuration, and when.
 *
 * Inputs are the revisions that peers announce and the progress of the pulls. One peer is asked at a time, because the
 * response may be large; a second one is asked if the first does not respond, so that one unresponsive peer does not
 * delay a change. A revision that is announced during a pull is pulled after it. Times are in milliseconds.
 */
import type { Address } from "../../ids/address.js";

/** Several times the round trip between data halls. */
const RESPONSE_WAIT_MS = 300;
/** Pulls that may run at the same time. */
const MAX_PULLS = 2;
/** Pulls from one peer that may fail before its announcement is dropped; its next heartbeat is a new announcement. */
const MAX_FAILURES = 3;
/** Pause before a peer is asked again after a failure. */
const RETRY_DELAY_MS = 200;

type Announcement = { readonly revision: number; readonly failures: number; readonly notBefore: number; };
type Pull = { readonly revision: number; readonly startedAt: number; readonly hasResponse: boolean; };

/** Tracks the announcements that are newer than the revision in force. The owner runs the pulls. */
export class PullSchedule {
    /** In the order in which the peers are asked. */
    readonly #announcements = new Map<Address, Announcement>();
    readonly #pulls = new Map<Address, Pull>();

    /** True while no pull runs and no peer is left to ask. */
    get isIdle(): boolean {
        return this.#announcements.size === 0 && this.#pulls.size === 0;
    }

    /** Records that a peer has the revision, or a newer one. */
    announce(peer: Address, revision: number, now: number): void {
        const known = this.#announcements.get(peer);
        if (known === undefined || known.revision < revision) {
            this.#announcements.set(peer, { revision, failures: 0, notBefore: now });
        }
    }

    /** Returns the peer from which a pull is to start now, and records its start; undefined if none is. */
    start(revisionInForce: number, now: number): Address | undefined {
        this.#dropObsolete(revisionInForce);
        if (!this.#mayStart(now)) {
            return undefined;
        }
        for (const [peer, { revision, notBefore }] of this.#announcements) {
            if (notBefore <= now && !this.#pulls.has(peer)) {
                this.#pulls.set(peer, { revision, startedAt: now, hasResponse: false });
                return peer;
            }
        }
        return undefined;
    }

    /** Returns the next time at which `start` may return a peer without another event; undefined if there is none. */
    nextStartAt(now: number): number | undefined {
        const waiting = [...this.#announcements].filter(([peer]) => !this.#pulls.has(peer));
        if (waiting.length === 0 || this.#pulls.size >= MAX_PULLS) {
            return undefined;
        }
        const retryAt = Math.min(...waiting.map(([, { notBefore }]) => notBefore));
        const overdueAt = Math.max(
            now,
            ...[...this.#pulls.values()].map(pull => pull.hasResponse ? Infinity : pull.startedAt + RESPONSE_WAIT_MS),
        );
        const nextAt = Math.max(retryAt, overdueAt);
        return nextAt === Infinity ? undefined : nextAt;
    }

    /** Records that the head of the peer's response has been received. */
    recordResponse(peer: Address): void {
        const pull = this.#pulls.get(peer);
        if (pull !== undefined) {
            this.#pulls.set(peer, { ...pull, hasResponse: true });
        }
    }

    /** Records the end of a pull. A peer that has announced a newer revision meanwhile stays to be asked. */
    end(peer: Address, isSuccessful: boolean, now: number): void {
        const pull = this.#pulls.get(peer);
        const announcement = this.#announcements.get(peer);
        this.#pulls.delete(peer);
        if (pull === undefined || announcement === undefined || announcement.revision > pull.revision) {
            return;
        }
        this.#announcements.delete(peer);
        const failures = announcement.failures + 1;
        if (!isSuccessful && failures < MAX_FAILURES) {
            this.#announcements.set(peer, { ...announcement, failures, notBefore: now + RETRY_DELAY_MS });
        }
    }

    #dropObsolete(revisionInForce: number): void {
        for (const [peer, { revision }] of this.#announcements) {
            if (revision <= revisionInForce) {
                this.#announcements.delete(peer);
            }
        }
    }

    #mayStart(now: number): boolean {
        const pulls = [...this.#pulls.values()];
        return pulls.length < MAX_PULLS
            && pulls.every(({ hasResponse, startedAt }) => !hasResponse && now - startedAt >= RESPONSE_WAIT_MS);
    }
}
