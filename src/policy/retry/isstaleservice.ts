/**
 * Decides whether the sender of a request sends it to this service by a stale rule, while a newer revision here sends it
 * to others, or has no rule for it.
 *
 * Such a request is refused before it runs, so that its sender looks up the rule again.
 */
import type { Rule } from "../../config/rule.js";
import type { ServiceName } from "../../ids/servicename.js";

/** The rule that matches by this daemon's configuration, if there is one, and the service of the upstream. */
type ServiceRule = { readonly rule: Rule | undefined; readonly service: ServiceName; };

/** Returns true if the sender's rule is stale; `revision` is the revision of this daemon's rules. */
export function isStaleService(
    sender: { readonly revision: number; },
    { rule, service }: ServiceRule,
    revision: number,
): boolean {
    return sender.revision < revision && (rule === undefined || !servicesOf(rule).includes(service));
}

const servicesOf = ({ service, split }: Rule): ServiceName[] =>
    split === undefined || split.length === 0
        ? [service]
        : split.filter(({ weight }) => weight > 0).map(share => share.service);
