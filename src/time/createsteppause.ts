/** Divides long work into steps, between which the event loop handles other events. */
import { setImmediate } from "node:timers/promises";
import type { Clock } from "./clock.js";
import type { StepPause } from "./steppause.js";

/**
 * A tenth of the 10 ms for which the event loop may be blocked: on a host with a share of a core a step takes four times
 * as long, and the last part of a step may be longer than the others.
 */
const MAX_STEP_MS = 1;

/** Returns the pause of one long work; its first step begins now. */
export function createStepPause(clock: Clock): StepPause {
    let startedAt = clock();
    return () =>
        clock() - startedAt < MAX_STEP_MS ? undefined : setImmediate().then(() => {
            startedAt = clock();
        });
}
