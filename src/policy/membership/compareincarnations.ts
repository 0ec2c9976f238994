/**
 * Compares the incarnation of an upstream that sent an announcement with the known incarnation under the same name.
 *
 * An upstream may restart under its name. It then has none of its earlier state and numbers its announcements from the
 * start again, so start times take precedence over announcement numbers. An earlier incarnation is one whose
 * announcement was delayed. An upstream that reports no start time is assumed to be the known incarnation.
 */

/** Compares `reported` with `known`, the start times of both incarnations in Unix milliseconds. */
export function compareIncarnations(
    reported: number | undefined,
    known: number | undefined,
): "same" | "later" | "earlier" {
    if (reported === undefined || known === undefined || reported === known) {
        return "same";
    }
    return reported > known ? "later" : "earlier";
}
