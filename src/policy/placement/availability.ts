/** Whether an upstream may be sent requests. */

/** `draining`: operators or the upstream said so; `leaving`: its gate did; `suspected`: its gate does not answer. */
export type Availability = "available" | "draining" | "leaving" | "suspected";
