/**
 * How often does this ingress send to an upstream that states a limit of requests a second?
 *
 * Nobody knows how many ingresses share the limit. Each begins as if it were alone, sends half as often after its gate has turned it away,
 * and a little more often after each answer. So few requests go there in vain, and the limit is used. By slots and times such an
 * upstream looks idle: few run there, none wait.
 */

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** After the gate has turned one away. */
const BACK_OFF = 2;
/** After an answer. */
const SPEED_UP = 0.8;
/** An ingress that was turned away again and again tries this often all the same; milliseconds. */
const LONGEST_MS = 5000;
/** An ingress that has sent none for this long though it might sends the next one there, quick as others may be; milliseconds. */
const DUE_AFTER_MS = 2000;

/** Of one upstream at one ingress; times are milliseconds on the daemon's clock. */
export class RateShare {
    #perSecond: number | undefined;
    #everyMs = 0;
    #nextAt = -Infinity;
    #backedOffUntil = -Infinity;

    /** Follows what the upstream states; undefined while it states no limit. */
    follow(perSecond: number | undefined, now: number): void {
        if (perSecond === this.#perSecond) {
            return;
        }
        this.#perSecond = perSecond;
        this.#everyMs = this.#leastMs;
        this.#nextAt = perSecond === undefined ? -Infinity : now + this.#everyMs;
    }

    /** False while this ingress has used its share. */
    isOpen(now: number): boolean {
        return now >= this.#nextAt;
    }

    /** True when it has sent none for so long that it would not learn of the limit's end. */
    isDue(now: number): boolean {
        return this.#perSecond !== undefined && now >= this.#nextAt + DUE_AFTER_MS;
    }

    recordSent(now: number): void {
        if (this.#perSecond !== undefined) {
            this.#nextAt = now + this.#everyMs;
        }
    }

    recordAnswer(): void {
        this.#everyMs = Math.max(this.#leastMs, this.#everyMs * SPEED_UP);
    }

    /** Several that were on their way together count once. */
    recordRefusal(now: number): void {
        if (now >= this.#backedOffUntil) {
            this.#everyMs = Math.min(LONGEST_MS, this.#everyMs * BACK_OFF);
            this.#backedOffUntil = now + this.#everyMs;
        }
        this.recordSent(now);
    }

    /** Between two requests of one that is alone. */
    get #leastMs(): number {
        return this.#perSecond === undefined ? 0 : Math.min(LONGEST_MS, MS_PER_SECOND / this.#perSecond);
    }
}
