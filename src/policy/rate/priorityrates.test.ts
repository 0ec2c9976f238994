import assert from "node:assert/strict";
import { test } from "node:test";
import type { Priority } from "../../config/priority.js";
import { PriorityRates } from "./priorityrates.js";

const PER_SECOND = 8;

/** Returns how many requests of the priority are sent in 10 s while `urgentPerSecond` urgent ones arrive. */
const countSent = (priority: Priority, urgentPerSecond: number): number => {
    const rates = new PriorityRates();
    let sent = 0;
    for (let now = 0; now < 10_000; now += 10) {
        if (urgentPerSecond > 0 && now % (1000 / urgentPerSecond) === 0) {
            rates.recordArrival("urgent", now);
        }
        if (rates.nextSendAt(priority, PER_SECOND, now) <= now) {
            rates.recordSent(priority, PER_SECOND, now);
            sent += 1;
        }
    }
    return sent;
};

test("priority rates: a priority gets what the more urgent ones leave", () => {
    assert.ok(countSent("normal", 0) >= 75, "the whole limit while no urgent requests arrive");
    const half = countSent("normal", 4);
    assert.ok(half >= 35 && half <= 55, `${half}`);
});

test("priority rates: others do not starve when urgent requests would use the whole limit", () => {
    const few = countSent("background", 20);
    assert.ok(few >= 5 && few <= 20, `${few}`);
});

test("priority rates: the most urgent requests are never held back for others", () => {
    const rates = new PriorityRates();
    for (let now = 0; now < 100; now += 1) {
        rates.recordArrival("urgent", now);
        rates.recordSent("urgent", PER_SECOND, now);
        assert.equal(rates.nextSendAt("urgent", PER_SECOND, now), now);
    }
});
