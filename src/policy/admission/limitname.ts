/** The policies of limiting, as settings name them. */

/** `fixed`: the slots; `ramp`: opened one by one; `learned`: and as few as get the most done. */
export type LimitName = "fixed" | "ramp" | "learned";
