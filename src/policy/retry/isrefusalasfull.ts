/** Classifies the refusals of a gate that could not serve a request in time after others had redirected it. */
import type { Reason } from "./reason.js";

/** Returns true for a refusal for load that is not a redirect. */
export function isRefusalAsFull(reason: Reason): boolean {
    return reason === "queue-full" || reason === "wait-too-long";
}
