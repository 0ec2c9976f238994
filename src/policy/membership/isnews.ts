/**
 * Which source of a daemon's record goes before which?
 *
 * A daemon's own word goes before all else. A record in the store comes next: it may be of an earlier life. What a peer says of a
 * third daemon fills gaps only. Within one life of a daemon the higher version is the newer one, whoever says it.
 */
import type { Incarnation } from "../../ids/incarnation.js";
import { directMs } from "./directms.js";
import type { MemberSource } from "./membersource.js";

type Version = { readonly incarnation: Incarnation; readonly version: number; };

/** What is known of the daemon; times are on this daemon's clock. */
type Known = Version & {
    /** When the daemon itself was heard last; -Infinity for never. */
    readonly heardAt: number;
    /** Its record is gone from the store. */
    readonly lapsed: boolean;
};

/** True when what is said replaces what is known. */
export function isNews(said: Version, known: Known, source: MemberSource, now: number): boolean {
    if (said.incarnation === known.incarnation) {
        return said.version > known.version;
    }
    switch (source) {
        case "itself":
            return true;
        case "store":
            return now - known.heardAt > directMs;
        case "peer":
            return known.lapsed;
    }
}
