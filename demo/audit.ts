/** Holds what callers were told against the upstreams' own record. */
import type { RunRecord } from "./runrecord.js";
import type { Told } from "./told.js";

/** Counts; the last five must be 0. */
type Audit = {
    readonly sent: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly cut: number;
    readonly onceRunTwice: number;
    readonly falseNotRun: number;
    readonly wrongAnswer: number;
    /** Spells in which an upstream got more than the limit that it stated allows. */
    readonly overLimit: number;
};

/** A request that no daemon took counts as not run. */
export function audit(told: readonly Told[], record: RunRecord): Audit {
    const count = (test: (item: Told) => boolean): number => told.filter(test).length;
    const isNotRun = (item: Told): boolean => item.word === "not-run" || item.word === "refused";
    return {
        sent: told.length,
        answered: count(item => item.word === "answered"),
        notRun: count(isNotRun),
        unknown: count(item => item.word === "unknown"),
        cut: count(item => item.word === "cut"),
        onceRunTwice: count(item => item.once && record.runs(item.id) > 1),
        falseNotRun: count(item => isNotRun(item) && record.runs(item.id) > 0),
        wrongAnswer: count(item => item.wrong),
        overLimit: record.spellsOverLimit(),
    };
}
