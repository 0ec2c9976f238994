/** Dependencies of callers' connections for tests. */
import { AcceptMonitor } from "../src/ingress/acceptmonitor.js";
import type { ConnectionDependencies } from "../src/ingress/connectiondependencies.js";
import { HeldMemory } from "../src/policy/admission/heldmemory.js";
import { UnreadMonitor } from "../src/time/unreadmonitor.js";

const DISCARD_BYTES = 100_000;
const DISCARD_TIMEOUT_MS = 300;

/** Returns all dependencies but the one that serves requests. */
export function connectionDefaults(maxAccepted: number): Omit<ConnectionDependencies, "serve"> {
    const unread = new UnreadMonitor(() => performance.now());
    return {
        unread,
        accepts: new AcceptMonitor(unread),
        clock: () => performance.now(),
        maxAccepted,
        maxOpenConnections: Infinity,
        onDropped: () => {},
        requestMemory: new HeldMemory(Infinity),
        discardLimits: () => ({ maxBytes: DISCARD_BYTES, timeoutMs: DISCARD_TIMEOUT_MS }),
        onLimit: () => {},
    };
}
