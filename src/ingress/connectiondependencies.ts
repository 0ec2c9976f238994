/** Defines the dependencies of callers' connections, which the listener provides. */
import type { Socket } from "node:net";
import type { HeldMemory } from "../policy/admission/heldmemory.js";
import type { Clock } from "../time/clock.js";
import type { UnreadMonitor } from "../time/unreadmonitor.js";
import type { AcceptMonitor } from "./acceptmonitor.js";
import type { CallerConnection } from "./callerconnection.js";
import type { ClosureReason } from "./closurereason.js";
import type { DiscardLimits } from "./discardlimits.js";
import type { ParsedRequest } from "./parsedrequest.js";

/** The dependencies that all connections share. */
export type ConnectionDependencies = {
    readonly clock: Clock;
    readonly unread: UnreadMonitor;
    /** Observes the listener. */
    readonly accepts: AcceptMonitor;
    /** The most requests of a connection that are accepted and not answered. */
    readonly maxAccepted: number;
    /** The most connections that are open at once. */
    readonly maxOpenConnections: number;
    /** Serves an accepted request. */
    readonly serve: (request: ParsedRequest, connection: CallerConnection) => void;
    /** Called for each request that was parsed and will not be accepted. */
    readonly onDropped: () => void;
    /** Limits on the rest of a body whose request has been answered. */
    readonly discardLimits: () => DiscardLimits;
    /** The memory that parsed requests take until they are answered, by connection. */
    readonly requestMemory: HeldMemory<CallerConnection>;
    /** Called before a connection is closed because its caller exceeds a limit. */
    readonly onLimit: (reason: ClosureReason, socket: Socket) => void;
};
