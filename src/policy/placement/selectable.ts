/** Defines what the selection of targets needs to know of an upstream. */
import type { Availability } from "./availability.js";

/** An upstream that states its availability at a moment, in milliseconds on the daemon's clock. */
export type Selectable = { availability(now: number): Availability; };
