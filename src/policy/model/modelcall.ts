/** Describes a call from one service to another in a simulation. */
import type { ModelClass } from "./modelclass.js";

/** A request class that upstreams send instead of callers. */
export type ModelCall = Pick<ModelClass, "name" | "service" | "priority" | "workMs" | "targetMs" | "timeLimitMs">;
