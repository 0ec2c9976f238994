/** A request in a model, as its ingress sends it. */
import type { Priority } from "../../config/priority.js";
import type { ModelCall } from "./modelcall.js";

/** What the ingress knows of it. */
export type SentRequest = {
    readonly kind: ModelCall & { readonly calls?: { readonly name: string; readonly share: number; }; };
    readonly priority: Priority;
    /** When its caller tried first. */
    readonly firstAttemptAt: number;
    readonly deadline: number;
    readonly depth: number;
};
