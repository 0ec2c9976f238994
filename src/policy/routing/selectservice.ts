/** Selects a service from the weighted split of a rule. */
import type { Rule } from "../../config/rule.js";
import type { ServiceName } from "../../ids/servicename.js";

/**
 * Returns the service that `sample` selects from the split, or the rule's service if it has no split.
 *
 * `sample` is a number from 0 up to but not including 1, the same for all attempts of the request.
 */
export function selectService(rule: Rule, sample: number): ServiceName {
    const split = rule.split ?? [];
    const total = split.reduce((sum, share) => sum + share.weight, 0);
    let left = sample * total;
    for (const { service, weight } of split) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return rule.service;
}
