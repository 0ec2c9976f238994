/** What the upstreams of a model call. */
import type { ModelClass } from "./modelclass.js";

/** A call between services: as a class, but for who sends it. */
export type ModelCall = Pick<ModelClass, "name" | "service" | "priority" | "workMs" | "targetMs" | "timeLimitMs">;
