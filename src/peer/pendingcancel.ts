/** Waits until it is known whether a peer's request was cancelled long ago. */
import type { GateCall } from "../hop/gatecall.js";
import type { ServedCall } from "../link/servedcall.js";
import { afterRecentPoll } from "../time/afterrecentpoll.js";
import type { Clock } from "../time/clock.js";
import { maxFreshMs } from "../time/maxfreshms.js";
import type { UnreadMonitor } from "../time/unreadmonitor.js";

/** The sender of a request that was delayed for longer may have been short of processor time, too. */
const MAX_UNCHECKED_MS = 400;

/** Reads the time from the daemon's clock. */
export class PendingCancel {
    constructor(private readonly clock: Clock, private readonly unread: UnreadMonitor) {}

    /**
     * Waits until the end of the connection has been read, if it may have arrived already. If a request was unread in the
     * socket until its caller left, the end follows it and is read in the next turn of the event loop. A request without
     * `gateTime` does not show how long it was delayed. The sender of a request that was delayed for long is asked for its
     * caller, whose leaving it may not have read.
     */
    async settle({ head: { gateTime, remainingMs }, checkCaller }: ServedCall): Promise<void> {
        const now = this.clock();
        const readUpTo = this.unread.readUpTo(now);
        if (now - Math.min(gateTime ?? -Infinity, readUpTo) > maxFreshMs) {
            await afterRecentPoll(this.clock);
        }
        const sentAt = gateTime ?? readUpTo;
        if (now - sentAt > MAX_UNCHECKED_MS) {
            await checkCaller?.(sentAt + remainingMs - this.clock());
        }
    }

    /** A cancellation that had arrived when the request is passed on has been read. */
    createSettleCancel(): NonNullable<GateCall["settleCancel"]> {
        let readUpTo = this.clock();
        return now => {
            const isOld = now - Math.max(readUpTo, this.unread.readUpTo(now)) > maxFreshMs;
            return isOld ? afterRecentPoll(this.clock).then(() => void (readUpTo = this.clock())) : undefined;
        };
    }
}
