/**
 * Decides whether a received record of a daemon replaces the known one.
 *
 * Within one incarnation of the daemon, the higher version is the newer one, whatever its source. Between incarnations,
 * the daemon's own report takes precedence over all other sources. A record in the store is
 * used only if the daemon itself has sent nothing recently, since the record may be of an earlier incarnation. A peer's
 * report about a third daemon is used only if the store no longer has a record of that daemon.
 */
import type { Incarnation } from "../../ids/incarnation.js";
import { directPrecedenceMs } from "./directprecedencems.js";
import type { MemberSource } from "./membersource.js";

/** Identifies one state of a daemon. */
type Version = { readonly incarnation: Incarnation; readonly version: number; };

/** The known state of the daemon. */
type Known = Version & {
    /** The time of the daemon's last message, in milliseconds on this daemon's clock; -Infinity if there was none. */
    readonly lastSeenAt: number;
    /** True if the store no longer has its record. */
    readonly isUnregistered: boolean;
};

/** Returns true if the reported version replaces the known one; `now` is in milliseconds on this daemon's clock. */
export function isNewerRecord(reported: Version, known: Known, source: MemberSource, now: number): boolean {
    if (reported.incarnation === known.incarnation) {
        return reported.version > known.version;
    }
    switch (source) {
        case "itself":
            return true;
        case "store":
            return now - known.lastSeenAt > directPrecedenceMs;
        case "peer":
            return known.isUnregistered;
    }
}
