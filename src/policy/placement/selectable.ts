/** What the selection of upstreams needs to know of each. */
import type { Availability } from "./availability.js";

/** Asked at a time on the daemon's clock, in milliseconds. */
export type Selectable = { availability(now: number): Availability; };
