/** A request in a model, at one gate. */
import type { Priority } from "../../config/priority.js";
import type { RuleName } from "../../ids/rulename.js";
import type { TeamName } from "../../ids/teamname.js";
import type { Waiting } from "../admission/waiting.js";
import type { ModelCall } from "./scenario.js";

/** What the ingress knows of it. */
export type ModelSent = {
    readonly kind: ModelCall & { readonly calls?: { readonly name: string; readonly share: number; }; };
    readonly priority: Priority;
    /** When its caller tried first. */
    readonly firstAt: number;
    readonly deadline: number;
    readonly depth: number;
};

/** How an attempt or a request ends. */
export type ModelEnd =
    | { readonly outcome: "served"; }
    | { readonly outcome: "failed"; }
    | {
        readonly outcome: "refused";
        readonly reason: "busy" | "slow" | "wait-too-long" | "queue-full" | "deadline";
        readonly retryAfterMs: number;
    };

/** Waits at a gate; `grant` and `refuse` end its wait. */
export type ModelRequest = Waiting & {
    readonly sent: ModelSent;
    grant: () => void;
    refuse: (end: ModelEnd) => void;
};

export const TEAM = "none" as TeamName;
export const ruleOf = (name: string): RuleName => name as RuleName;
