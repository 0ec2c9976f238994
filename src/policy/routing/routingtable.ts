/** Holds the rules and services of a document in the form in which requests look them up. */
import type { Document } from "../../config/document.js";
import type { Service } from "../../config/service.js";
import type { ServiceName } from "../../ids/servicename.js";
import { RuleIndex } from "./ruleindex.js";

/** Built once for each document; see routingTableOf. */
export class RoutingTable {
    readonly rules: RuleIndex;
    readonly services: ReadonlyMap<ServiceName, Service>;

    constructor({ rules, services }: Document) {
        this.rules = new RuleIndex(rules);
        // The first of several services of one name counts, hence the reverse order.
        this.services = new Map([...services].reverse().map(service => [service.name, service]));
    }
}
