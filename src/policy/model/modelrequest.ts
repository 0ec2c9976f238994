/** A request in a model, at one gate. */
import type { QueuedRequest } from "../admission/queuedrequest.js";
import type { ModelResult } from "./modelresult.js";
import type { SentRequest } from "./sentrequest.js";

/** Waits at a gate; `grant` and `refuse` end its wait. */
export type ModelRequest = QueuedRequest & {
    readonly sent: SentRequest;
    start: () => void;
    refuse: (end: ModelResult) => void;
};
