/** Decides when the caller of a request that a stopping daemon refuses should send it again. */
import { unplacedRetryAfterMs } from "../admission/unplacedretryafterms.js";
import type { StopSchedule } from "./stopschedule.js";

/**
 * Returns the milliseconds until this process has ended; a caller that can't use another daemon then finds its
 * successor. At least the time in which a daemon that has just started can serve requests.
 */
export function stoppingRetryAfterMs({ exitAt }: StopSchedule, now: number): number {
    return Math.max(unplacedRetryAfterMs, exitAt - now);
}
