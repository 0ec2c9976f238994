import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { RequestLimit } from "../rate/requestlimit.js";
import { RateShare } from "./rateshare.js";

const ANSWER_MS = 80;

type Shared = { readonly ingresses: number; readonly perSecond: number; readonly requestsPerSecond: number; };

/** Requests that were taken and turned away in ten seconds, after five in which the ingresses found their shares. */
const share = ({ ingresses, perSecond, requestsPerSecond }: Shared): { taken: number; refused: number; } => {
    const random = seededRandom(1);
    const limit = new RequestLimit();
    limit.recordAnswer({ type: "perSecond", perSecond }, { sentAt: -1, isHealth: false }, 0);
    const shares = Array.from({ length: ingresses }, () => new RateShare());
    shares.forEach(each => each.follow(perSecond, 0));
    const answers: { readonly at: number; readonly to: RateShare; }[] = [];
    const count = { taken: 0, refused: 0 };
    for (let now = 1; now < 15_000; now += 1) {
        while (answers.length > 0 && answers[0]!.at <= now) {
            answers.shift()!.to.recordAnswer();
        }
        const open = shares.filter(each => random() < requestsPerSecond / 1000 && each.isOpen(now));
        for (const each of open) {
            each.recordSent(now);
            if (limit.sendableAt(1, now) <= now) {
                limit.recordSent(now);
                answers.push({ at: now + ANSWER_MS, to: each });
                count.taken += now < 5000 ? 0 : 1;
            }
            else {
                each.recordRefusal(now);
                count.refused += now < 5000 ? 0 : 1;
            }
        }
    }
    return count;
};

// Guards against hosts that all take a limited upstream for idle and send most of their requests there in vain.
test("rate share: ingresses that know nothing of each other use the limit, and few go there in vain", () => {
    for (const [ingresses, perSecond] of [[4, 4], [13, 8], [40, 8]] as const) {
        const { taken, refused } = share({ ingresses, perSecond, requestsPerSecond: 10 });
        assert.ok(taken >= perSecond * 10 * 0.8, `${taken} of ${perSecond * 10} by ${ingresses}`);
        assert.ok(refused <= ingresses * 10 * 10 * 0.05, `${refused} in vain of ${ingresses * 100}`);
    }
});

test("rate share: without a limit all is open, and refusals that were on their way together count once", () => {
    const share = new RateShare();
    share.recordSent(0);
    assert.equal(share.isOpen(0), true);
    assert.equal(share.isDue(9999), false);
    share.follow(4, 0);
    share.recordSent(1000);
    [1, 2, 3, 4].forEach(ms => share.recordRefusal(1000 + ms));
    assert.equal(share.isOpen(1400), false);
    assert.equal(share.isOpen(1505), true);
    assert.equal(share.isDue(3000), false);
    assert.equal(share.isDue(3600), true);
    share.follow(undefined, 3600);
    assert.equal(share.isOpen(0), true);
});
