/** Describes a request as a simulated ingress sends it. */
import type { Priority } from "../../config/priority.js";
import type { ModelCall } from "./modelcall.js";

/** The properties that do not change between attempts at several gates. Times are milliseconds of simulated time. */
export type SentRequest = {
    readonly kind: ModelCall & { readonly calls?: { readonly name: string; readonly share: number; }; };
    readonly priority: Priority;
    /** Time at which the caller made its first attempt. */
    readonly firstAttemptAt: number;
    readonly deadline: number;
    readonly depth: number;
};
