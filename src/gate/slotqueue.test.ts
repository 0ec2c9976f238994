import assert from "node:assert/strict";
import { test } from "node:test";
import { Cancellation } from "../http/cancellation.js";
import { Ledger } from "../ledger/ledger.js";
import { Admission } from "../policy/admission/admission.js";
import { FixedLimit } from "../policy/admission/fixedlimit.js";
import { LevelClock } from "../policy/admission/levelclock.js";
import { RuleTimes } from "../policy/admission/ruletimes.js";
import { ColdGuard } from "../policy/cold/coldguard.js";
import { Pace } from "../policy/failure/pace.js";
import { SendRate } from "../policy/rate/sendrate.js";
import { StatedRateLimiter } from "../policy/rate/statedratelimiter.js";
import { GateIdentity } from "./gateidentity.js";
import { GateRefusals } from "./gaterefusals.js";
import { GateRequest } from "./gaterequest.js";
import { SlotQueue } from "./slotqueue.js";

const SLOTS = 2;
const WORK_MS = 220;
const clock = (): number => performance.now();

/** Creates a queue in front of a slow upstream that reports `paces`, one for each probe. */
const createQueue = (paces: number[]): { readonly queue: SlotQueue; readonly probeCount: () => number; } => {
    const pace = new Pace();
    const admission = new Admission<GateRequest>(
        new FixedLimit(SLOTS),
        new RuleTimes(),
        new LevelClock(SLOTS, clock()),
        pace,
        new SendRate(new ColdGuard(clock()), new StatedRateLimiter()),
    );
    const identity = new GateIdentity("i" as never, () => 1);
    let probeCount = 0;
    const queue = new SlotQueue({
        clock,
        ledger: new Ledger(10),
        admission,
        refusals: new GateRefusals(() => identity.responseMetadata(clock())),
        refreshPace: async () => {
            probeCount += 1;
            pace.observe(paces.shift()!, clock());
        },
        probeCold: async () => {},
    });
    pace.observe(1, clock());
    admission.admit(createRequest(), clock());
    admission.recordFinished(WORK_MS, { work: Float64Array.of(0, WORK_MS, 0) }, clock());
    pace.observe(5, clock());
    return { queue, probeCount: () => probeCount };
};

const createRequest = (): GateRequest => {
    const head = {
        id: "r",
        kind: "repeatable",
        priority: "normal",
        team: "a",
        maxWaitMs: 1000,
        remainingMs: 5000,
        choices: 0,
        nearChoices: 0,
    };
    return new GateRequest({ head, cancel: new Cancellation() } as never, { incarnation: "i" } as never, clock());
};

test("slot queue: probes a slow upstream repeatedly, and starts queued requests once it is no longer slow", async () => {
    const { queue, probeCount } = createQueue([5, 5, 1]);
    const startedAt = clock();
    await Promise.all([queue.enter(createRequest()), queue.enter(createRequest())]);
    assert.equal(probeCount(), 3);
    assert.ok(clock() - startedAt >= 50, String(clock() - startedAt));
});
