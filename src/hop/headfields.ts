/** The order of a CallHead's fields on the wire. */
import type { CallHead } from "./callhead.js";

/** What is often left out comes last. */
export const headFields: readonly (keyof CallHead)[] = [
    "id",
    "upstream",
    "kind",
    "priority",
    "remainingMs",
    "maxWaitMs",
    "revision",
    "from",
    "choices",
    "nearChoices",
    "incarnation",
    "gateTime",
    "depth",
    "tenant",
    "answer",
    "offer",
];
