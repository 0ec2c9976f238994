/** Decides which priority a nested call has in the simulation. */
import { Priority } from "../../config/priority.js";
import type { CallPriorityPolicy } from "./callprioritypolicy.js";

/** `own` is the priority of the call's rule, `caller` that of the request that makes the call. */
export function priorityOfCall(policy: CallPriorityPolicy, own: Priority, caller: Priority): Priority {
    switch (policy) {
        case "own":
            return own;
        case "inherited":
            return caller;
        case "raised":
            return Priority.options[Math.max(0, Priority.options.indexOf(caller) - 1)]!;
    }
}
