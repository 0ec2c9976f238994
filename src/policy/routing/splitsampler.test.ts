import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { parse } from "../../config/parse.js";
import { Rule } from "../../config/rule.js";
import { selectService } from "./selectservice.js";
import { SplitSampler } from "./splitsampler.js";

const DAEMON_COUNT = 69;
const WINDOW_REQUESTS = 200;

const ruleWith = (weights: readonly number[]): Rule =>
    parse(Rule, {
        name: "r",
        pathPrefix: "/",
        service: "s0",
        split: weights.map((weight, index) => ({ service: `s${index}`, weight })),
    });

/**
 * Returns the largest difference between a service's share of a window and its share of the weights, when each request
 * goes to a random daemon.
 */
const maxShareError = (weights: readonly number[], seed: number): number => {
    const random = seededRandom(seed);
    const rule = ruleWith(weights);
    const daemons = Array.from({ length: DAEMON_COUNT }, () => new SplitSampler(random));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let maxError = 0;
    for (let window = 0; window < 50; window++) {
        const counts = weights.map(() => 0);
        for (let index = 0; index < WINDOW_REQUESTS; index++) {
            const daemon = daemons[Math.floor(random() * DAEMON_COUNT)]!;
            counts[Number(selectService(rule, daemon.next(rule.name)).slice(1))]! += 1;
        }
        counts.forEach((count, index) =>
            maxError = Math.max(maxError, Math.abs(count / WINDOW_REQUESTS - weights[index]! / total))
        );
    }
    return maxError;
};

test("split sampler: of 200 requests over many daemons, each service's share is within a tenth of its weight", () => {
    for (const weights of [[1, 1], [90, 10], [1, 1, 1], [5, 3, 2], [99, 1]]) {
        for (let seed = 1; seed <= 20; seed++) {
            const maxError = maxShareError(weights, seed);
            assert.ok(maxError <= 0.1, `${weights.join()} seed ${seed}: ${maxError}`);
        }
    }
});

test("split sampler: at one daemon, the split of 20 requests differs from the weights by at most one request", () => {
    const rule = ruleWith([1, 1]);
    const sampler = new SplitSampler(seededRandom(7));
    for (let window = 0; window < 20; window++) {
        const services = Array.from({ length: 20 }, () => selectService(rule, sampler.next(rule.name)));
        const firstCount = services.filter(service => service === "s0").length;
        assert.ok(Math.abs(firstCount - 10) <= 1, `${firstCount} of 20`);
    }
});

test("split sampler: a service with weight 0 gets no requests", () => {
    const rule = ruleWith([1, 0]);
    const sampler = new SplitSampler(seededRandom(7));
    for (let index = 0; index < 1000; index++) {
        assert.equal(selectService(rule, sampler.next(rule.name)), "s0");
    }
});
