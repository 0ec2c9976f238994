/** In which class does a call wait that a run makes? */
import { Priority } from "../../config/priority.js";
import type { CallPriorityPolicy } from "./callprioritypolicy.js";

/** `own`: of its rule; `caller`: of the request for which it is made. */
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
