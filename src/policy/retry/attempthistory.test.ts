import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestKind } from "../../config/requestkind.js";
import { AttemptHistory } from "./attempthistory.js";
import { decideRetry } from "./decideretry.js";
import { defaultMaxAttempts } from "./defaultmaxattempts.js";
import { maxRedirects } from "./maxredirects.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";
import { RetryBudget } from "./retrybudget.js";

/** More attempts than any request may make here; ends the loop where nothing else does. */
const MAX_LOOP = 60;
const NOW = 1;

/** Returns the number of attempts of a request that each target refuses, in turn, without any time passing. */
const countAttempts = (reason: Reason, kind: RequestKind, targetCount: number): number => {
    const history = new AttemptHistory<number>();
    const retries = { budget: new RetryBudget(10_000), allowance: { ratio: 0, reserve: 0 } };
    const result = { outcome: "not-run", reason } as const;
    let isRetried = true;
    while (isRetried && history.attempts < MAX_LOOP) {
        history.begin(history.attempts % targetCount);
        history.end(result);
        isRetried = decideRetry(
            {
                result,
                kind,
                attempts: history.countedAttempts,
                maxAttempts: defaultMaxAttempts,
                redirects: history.redirects,
                remainingMs: 1000,
                bodyKept: true,
                needsBudget: history.needsBudget,
                quarantineStatus: "free",
            },
            retries,
            NOW,
        ).again;
    }
    return history.attempts;
};

// Guards against requests that held the event loop until their deadline: free redirects were bounded by time alone.
test("attempts: a request that one upstream refuses ends after few attempts, whatever the reason and however fast", () => {
    for (const reason of Object.keys(reasons) as Reason[]) {
        for (const kind of ["repeatable", "once"] as const) {
            const attempts = countAttempts(reason, kind, 1);
            assert.ok(attempts <= defaultMaxAttempts + maxRedirects, `${reason}, ${kind}: ${attempts} attempts`);
        }
    }
});

test("attempts: each of many upstreams that are leaving may redirect a request for free, once", () => {
    const targetCount = 20;
    const attempts = countAttempts("leaving", "repeatable", targetCount);
    assert.ok(attempts >= targetCount, `${attempts} attempts`);
    assert.ok(attempts <= targetCount + defaultMaxAttempts, `${attempts} attempts`);
});
