/** Defines the dependencies of the listener for callers, besides those of the request handlers. */
import type { ServiceName } from "../ids/servicename.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import type { UnreadMonitor } from "../time/unreadmonitor.js";
import type { Planner } from "./planner.js";

/** The daemon provides them. */
export type ListenerDependencies = {
    readonly planner: Planner;
    readonly unread: UnreadMonitor;
    /** The service on this host, sent to upstreams as the caller's service; undefined if there is none. */
    readonly callerService: ServiceName | undefined;
    /** The most connections of callers that are open at once. */
    readonly maxOpenConnections: number;
    /** Bounds the bytes of the bodies that are held. */
    readonly bodyMemory: BodyMemory;
};
