/** The order of an AnswerNote's fields on the wire. */
import type { AnswerNote } from "./answernote.js";

/** What is often left out comes last. */
export const noteFields: readonly (keyof AnswerNote)[] = [
    "incarnation",
    "gateTime",
    "revision",
    "report",
    "tookMs",
    "outcome",
    "reason",
    "retryAfterMs",
    "goTo",
    "offer",
    "retriedBelow",
    "unframed",
    "calls",
];
