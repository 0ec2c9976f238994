/** What has become of one try, as the exchange must act on it. */
import type { GateAnswer } from "../hop/gateanswer.js";
import type { Outcome } from "../policy/retry/outcome.js";

/** `answer` is the upstream's own, also when it says that the request failed there. */
type AttemptOutcome = Outcome | "served";

/** Redirected: refused not for load but since it belongs elsewhere. */
export type AttemptResult = {
    readonly outcome: AttemptOutcome;
    readonly reason: string;
    readonly answer?: GateAnswer;
    readonly retryAfterMs?: number;
    readonly goTo?: string;
    readonly offer?: string;
    /** The gate's configuration. */
    readonly revision?: number;
    readonly redirected: boolean;
    readonly retriedBelow: boolean;
};
