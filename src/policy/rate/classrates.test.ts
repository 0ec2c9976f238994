import assert from "node:assert/strict";
import { test } from "node:test";
import type { Priority } from "../../config/priority.js";
import { ClassRates } from "./classrates.js";

const PER_SECOND = 8;

/** How many of the class are sent in ten seconds, while as many urgent ones come a second. */
const sentOf = (priority: Priority, urgentPerSecond: number): number => {
    const rates = new ClassRates();
    let sent = 0;
    for (let now = 0; now < 10_000; now += 10) {
        if (urgentPerSecond > 0 && now % (1000 / urgentPerSecond) === 0) {
            rates.recordArrival("urgent", now);
        }
        if (rates.opensAt(priority, PER_SECOND, now) <= now) {
            rates.recordSent(priority, PER_SECOND, now);
            sent += 1;
        }
    }
    return sent;
};

test("class rates: a class gets what the more urgent ones leave", () => {
    assert.ok(sentOf("normal", 0) >= 75, "all of it, where no urgent ones come");
    const half = sentOf("normal", 4);
    assert.ok(half >= 35 && half <= 55, `${half}`);
});

test("class rates: where the more urgent ones would use all, the others are not starved", () => {
    const few = sentOf("background", 20);
    assert.ok(few >= 5 && few <= 20, `${few}`);
});

test("class rates: the most urgent is never held back for others", () => {
    const rates = new ClassRates();
    for (let now = 0; now < 100; now += 1) {
        rates.recordArrival("urgent", now);
        rates.recordSent("urgent", PER_SECOND, now);
        assert.equal(rates.opensAt("urgent", PER_SECOND, now), now);
    }
});
