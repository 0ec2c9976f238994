/** Tracks how long the requests of each rule take at one upstream. */
import type { RuleName } from "../../ids/rulename.js";
import { LongTermMean } from "./longtermmean.js";
import { ServiceTimes } from "./servicetimes.js";

/** Maximum number of rules with times of their own. Bounds memory; upstreams have far fewer rules in practice. */
const MAX_RULES = 256;

type RuleTime = { readonly service: ServiceTimes; readonly work: LongTermMean; };

/** Holds a bounded number of rules; evicts the one that was added first. */
export class RuleTimes {
    readonly #all = new ServiceTimes();
    readonly #byRule = new Map<RuleName, RuleTime>();

    /** The service times of all rules together. */
    get all(): ServiceTimes {
        return this.#all;
    }

    /** Returns the mean service time of the rule in milliseconds, or that of all rules if the rule has none yet. */
    meanServiceMs(rule: RuleName | undefined): number {
        return (rule === undefined ? undefined : this.#byRule.get(rule)?.service.baselineMs) ?? this.#all.baselineMs;
    }

    /** Returns the long-term mean time of work on the rule in milliseconds, without calls and at the usual pace. */
    meanMs(rule: RuleName | undefined): number {
        return (rule === undefined ? undefined : this.#byRule.get(rule)?.work.value) ?? this.#all.baselineMs;
    }

    /** Records a service time, and the time that the upstream worked on the request, scaled to its usual pace. */
    observe(rule: RuleName | undefined, serviceMs: number, workMs: number): void {
        this.#all.observe(serviceMs);
        if (rule !== undefined) {
            const time = this.#timesOf(rule);
            time.service.observe(serviceMs);
            time.work.observe(workMs);
        }
    }

    #timesOf(rule: RuleName): RuleTime {
        const known = this.#byRule.get(rule);
        if (known !== undefined) {
            return known;
        }
        if (this.#byRule.size >= MAX_RULES) {
            this.#byRule.delete(this.#byRule.keys().next().value!);
        }
        const time = { service: new ServiceTimes(), work: new LongTermMean() };
        this.#byRule.set(rule, time);
        return time;
    }
}
