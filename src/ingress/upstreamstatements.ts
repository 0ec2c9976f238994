/**
 * What upstreams have said of themselves in answers that this daemon has passed on: a limit, and that they leave for good.
 *
 * It outlasts an upstream's place in the table and the daemon beside it: one that starts again has forgotten it, and learns it from those who
 * send there. Times are milliseconds on the gate's clock.
 */
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { AnswerNote } from "../wire/answernote.js";

/** Upstreams remembered, the latest: bounds memory; only those that have said something are. */
const MAX_UPSTREAMS = 1024;

/** `incarnation` and `at`: whose word it is, and when it was written. */
type Statement = {
    readonly limitPerSecond: number | undefined;
    readonly ending: boolean;
    readonly incarnation: Incarnation;
    readonly at: number;
};

type Noted = Pick<AnswerNote, "limitPerSecond" | "ending" | "incarnation" | "gateTime">;

/** One for each daemon. */
export class UpstreamStatements {
    readonly #byName = new Map<UpstreamName, Statement>();

    /** Requests a second that it takes; undefined when it has stated no limit, or has taken it back. */
    limitPerSecond(upstream: UpstreamName): number | undefined {
        return this.#byName.get(upstream)?.limitPerSecond;
    }

    /** True when it has said that it leaves for good. */
    isEnding(upstream: UpstreamName): boolean {
        return this.#byName.get(upstream)?.ending === true;
    }

    /** Records what goes with an answer of the upstream; one that says nothing takes a limit back. */
    recordAnswer(upstream: UpstreamName, note: Noted): void {
        const known = this.#byName.get(upstream);
        if (this.#says(note)) {
            this.#record(upstream, note);
        }
        else if (known !== undefined && !known.ending && !this.#isOlder(note, known)) {
            this.#byName.delete(upstream);
        }
    }

    /** Records what goes with a gate's own refusal: a gate that has just started knows nothing, and takes nothing back. */
    recordRefusal(upstream: UpstreamName, note: Noted): void {
        if (this.#says(note)) {
            this.#record(upstream, note);
        }
    }

    #says({ limitPerSecond, ending }: Noted): boolean {
        return limitPerSecond !== undefined || ending === true;
    }

    #isOlder({ incarnation, gateTime }: Noted, known: Statement): boolean {
        return incarnation === known.incarnation && gateTime < known.at;
    }

    #record(upstream: UpstreamName, note: Noted): void {
        const known = this.#byName.get(upstream);
        const { limitPerSecond, incarnation, gateTime: at } = note;
        const ending = note.ending === true || known?.ending === true;
        this.#byName.delete(upstream);
        this.#byName.set(upstream, { limitPerSecond, ending, incarnation, at });
        if (this.#byName.size > MAX_UPSTREAMS) {
            this.#byName.delete(this.#byName.keys().next().value!);
        }
    }
}
