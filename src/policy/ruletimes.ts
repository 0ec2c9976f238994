/** How long the requests of each rule take at one upstream. */
import type { RuleName } from "../ids/rulename.js";
import { ServiceTimes } from "./servicetimes.js";

const MAX_RULES = 256;

/** Bounded: the rule that was seen first is forgotten first. */
export class RuleTimes {
    readonly #all = new ServiceTimes();
    readonly #byRule = new Map<RuleName, ServiceTimes>();

    /** All rules together. */
    get all(): ServiceTimes {
        return this.#all;
    }

    /** What is usual for the rule, or else for all; in milliseconds. */
    usualMs(rule: RuleName | undefined): number {
        return (rule === undefined ? undefined : this.#byRule.get(rule)?.slowMs) ?? this.#all.slowMs;
    }

    observe(rule: RuleName | undefined, serviceMs: number): void {
        this.#all.observe(serviceMs);
        if (rule !== undefined) {
            this.#timesOf(rule).observe(serviceMs);
        }
    }

    #timesOf(rule: RuleName): ServiceTimes {
        const known = this.#byRule.get(rule);
        if (known !== undefined) {
            return known;
        }
        if (this.#byRule.size >= MAX_RULES) {
            this.#byRule.delete(this.#byRule.keys().next().value!);
        }
        const times = new ServiceTimes();
        this.#byRule.set(rule, times);
        return times;
    }
}
