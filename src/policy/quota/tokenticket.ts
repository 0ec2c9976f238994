/** A request that waits for a token, and the decision which counter is asked next for it. */
import type { QuotaResult } from "./quotaresult.js";

/** The longest wait for a token that a counter expects to have, in milliseconds; refusing is better after that. */
const MAX_DUE_WAIT_MS = 100;
/** Rounds in which each counter is asked once. */
const MAX_ROUNDS = 2;

/** `giveUpAt`: the time until which the request may wait, in milliseconds on the daemon's clock. */
type TicketOptions = { readonly giveUpAt: number; readonly settle: (result: QuotaResult) => void; };

/** The next step: ask a counter, wait, or refuse. */
type NextStep<Counter> = { readonly type: "ask"; readonly counter: Counter; } | { readonly type: "wait" | "refuse"; };

/** Times are milliseconds on the daemon's clock. */
export class TokenTicket<Counter> {
    readonly #tried = new Set<Counter>();
    #rounds = 1;
    #dueMs: number | undefined;
    /** `asked`: the counter's answer is outstanding; otherwise the time from which a counter may be asked. */
    state: "asked" | number = -Infinity;

    constructor(readonly options: TicketOptions) {}

    /** The shortest time until a token is available, as the counters said; undefined if none could say. */
    get dueMs(): number | undefined {
        return this.#dueMs;
    }

    /** Records that a counter granted too few tokens; -1 means that it can't say when one is available. */
    recordShortage(dueMs: number): void {
        this.state = -Infinity;
        if (dueMs >= 0) {
            this.#dueMs = Math.min(this.#dueMs ?? Infinity, dueMs);
        }
    }

    /** Returns the next step; `targets` are the counters in the order in which they are asked. */
    next(targets: readonly Counter[], now: number): NextStep<Counter> {
        const counter = targets.find(target => !this.#tried.has(target));
        if (counter !== undefined) {
            this.#tried.add(counter);
            this.state = "asked";
            return { type: "ask", counter };
        }
        const waitMs = this.#dueMs ?? 0;
        if (this.#rounds >= MAX_ROUNDS || waitMs > MAX_DUE_WAIT_MS || now + waitMs >= this.options.giveUpAt) {
            return { type: "refuse" };
        }
        this.#rounds += 1;
        this.#tried.clear();
        this.state = now + waitMs;
        return { type: "wait" };
    }
}
