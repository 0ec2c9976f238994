/** Chooses among the parts of a rule's split. */
import type { Rule } from "../../config/rule.js";
import type { ServiceName } from "../../ids/servicename.js";

/** `draw` is from 0 up to 1, drawn once for a request; a rule without a split has one service. */
export function drawService(rule: Rule, draw: number): ServiceName {
    const split = rule.split ?? [];
    const total = split.reduce((sum, share) => sum + share.weight, 0);
    let left = draw * total;
    for (const { service, weight } of split) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return rule.service;
}
