/** A request in a model, at one gate. */
import type { QueuedRequest } from "../admission/queuedrequest.js";
import type { ModelEnd } from "./modelresult.js";
import type { ModelSent } from "./sentrequest.js";

/** Waits at a gate; `grant` and `refuse` end its wait. */
export type ModelRequest = QueuedRequest & {
    readonly sent: ModelSent;
    grant: () => void;
    refuse: (end: ModelEnd) => void;
};
