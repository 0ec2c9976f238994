/** Classifies the refusals of a gate that has too little capacity for a request. */
import type { Reason } from "./reason.js";

const loadReasons: ReadonlySet<Reason> = new Set([
    "slow",
    "busy",
    "cold",
    "limited",
    "queue-full",
    "wait-too-long",
    "shed",
]);

/** Returns true for a reason that shows that the upstream lacks capacity at present. */
export function isRefusalForLoad(reason: Reason): boolean {
    return loadReasons.has(reason);
}
