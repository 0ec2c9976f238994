/**
 * Decides whether a member whose record is gone from the store is still present.
 *
 * The missing record alone proves nothing, since the store may have lost it. A member that sent a message after its
 * record went missing is present. An unresponsive one is probed, and is removed if it does not respond in time.
 */

/** Leaves time for several probes and their responses. */
const PROBE_TIMEOUT_MS = 3000;

/** Times in milliseconds on the daemon's clock. */
type MemberTimes = {
    /** The time of the member's last message. */
    readonly lastSeenAt: number;
    /** The time at which its record was missing first; undefined while the store has it. */
    readonly unregisteredAt: number | undefined;
};

/** Returns `present`, `doubtful` if the member has to be probed, or `gone` if it has not responded in time. */
export function memberPresence(
    { lastSeenAt, unregisteredAt }: MemberTimes,
    now: number,
): "present" | "doubtful" | "gone" {
    if (unregisteredAt === undefined || lastSeenAt >= unregisteredAt) {
        return "present";
    }
    return now - unregisteredAt >= PROBE_TIMEOUT_MS ? "gone" : "doubtful";
}
