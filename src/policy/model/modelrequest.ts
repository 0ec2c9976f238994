/** Describes a request at a simulated gate. */
import type { QueuedRequest } from "../admission/queuedrequest.js";
import type { ModelResult } from "./modelresult.js";
import type { SentRequest } from "./sentrequest.js";

/** A request that may be queued; `start` and `refuse` remove it from the queue. */
export type ModelRequest = QueuedRequest & {
    readonly sent: SentRequest;
    start: () => void;
    refuse: (end: ModelResult) => void;
};
