/**
 * An upstream speaks under a name that is known: is it the life that is known, a later one, or an earlier one whose word comes late?
 *
 * It may start again under its name. It then holds nothing of what the earlier life held, and numbers its announcements anew, so the
 * time of its birth goes before their numbers. One that tells no birth is taken for the life that is known.
 */

/** `said` and `known` are births in Unix milliseconds. */
export function compareLives(said: number | undefined, known: number | undefined): "same" | "later" | "earlier" {
    if (said === undefined || known === undefined || said === known) {
        return "same";
    }
    return said > known ? "later" : "earlier";
}
