import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { StatedRateLimiter } from "../rate/statedratelimiter.js";
import { RateShare } from "./rateshare.js";

const RESPONSE_MS = 80;

type Scenario = { readonly ingresses: number; readonly perSecond: number; readonly requestsPerSecond: number; };

/** Returns the numbers of served and refused requests in ten seconds, after five seconds in which the shares settle. */
const simulate = ({ ingresses, perSecond, requestsPerSecond }: Scenario): { taken: number; refused: number; } => {
    const random = seededRandom(1);
    const limit = new StatedRateLimiter();
    limit.recordResponse({ type: "perSecond", perSecond }, { sentAt: -1, isHealth: false }, 0);
    const shares = Array.from({ length: ingresses }, () => new RateShare());
    shares.forEach(each => each.setLimit(perSecond, 0));
    const responses: { readonly at: number; readonly to: RateShare; }[] = [];
    const counts = { taken: 0, refused: 0 };
    for (let now = 1; now < 15_000; now += 1) {
        while (responses.length > 0 && responses[0]!.at <= now) {
            responses.shift()!.to.recordResponse();
        }
        const senders = shares.filter(each => random() < requestsPerSecond / 1000 && each.maySend(now));
        for (const each of senders) {
            each.recordSent(now);
            if (limit.sendableAt(1, now) <= now) {
                limit.recordSent(now);
                responses.push({ at: now + RESPONSE_MS, to: each });
                counts.taken += now < 5000 ? 0 : 1;
            }
            else {
                each.recordRefusal(now);
                counts.refused += now < 5000 ? 0 : 1;
            }
        }
    }
    return counts;
};

// Guards against ingresses that send most requests to an upstream with a stated rate limit, although it refuses them.
// Such an upstream looks idle, because few requests run there and none are queued.
test("rate share: independent ingresses use the stated rate limit with few refusals", () => {
    for (const [ingresses, perSecond] of [[4, 4], [13, 8], [40, 8]] as const) {
        const { taken, refused } = simulate({ ingresses, perSecond, requestsPerSecond: 10 });
        assert.ok(taken >= perSecond * 10 * 0.8, `served ${taken} of ${perSecond * 10}, ingresses: ${ingresses}`);
        assert.ok(refused <= ingresses * 10 * 10 * 0.05, `refused ${refused} of ${ingresses * 100}`);
    }
});

test("rate share: sends freely without a stated rate limit, and counts concurrent refusals once", () => {
    const share = new RateShare();
    share.recordSent(0);
    assert.equal(share.maySend(0), true);
    assert.equal(share.isProbeDue(9999), false);
    share.setLimit(4, 0);
    share.recordSent(1000);
    [1, 2, 3, 4].forEach(ms => share.recordRefusal(1000 + ms));
    assert.equal(share.maySend(1400), false);
    assert.equal(share.maySend(1505), true);
    assert.equal(share.isProbeDue(3000), false);
    assert.equal(share.isProbeDue(3600), true);
    share.setLimit(undefined, 3600);
    assert.equal(share.maySend(0), true);
});
