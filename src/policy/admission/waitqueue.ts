/** What waits at a gate: urgent first, none starved, fair between tenants. */
import type { Priority } from "../../config/priority.js";
import type { TenantName } from "../../ids/tenantname.js";
import { FairQueue } from "./fairqueue.js";
import type { Waiting } from "./waiting.js";

/** Most urgent first. */
const WEIGHTS: Readonly<Record<Priority, number>> = { urgent: 64, normal: 8, background: 1 };
const ORDER = Object.keys(WEIGHTS) as Priority[];

/** Of one tenant's requests of a class, the one whose time is up first goes first. */
const sooner = (one: Waiting, other: Waiting): boolean => one.deadline < other.deadline;

/** Classes share by weight, and tenants within a class evenly. */
export class WaitQueue<Item extends Waiting> {
    readonly #classes = new FairQueue<Priority, Priority>(priority => WEIGHTS[priority]);
    readonly #tenants = new Map<Priority, FairQueue<TenantName, Item>>(
        ORDER.map(priority => [priority, new FairQueue<TenantName, Item>(() => 1, sooner)]),
    );

    get length(): number {
        return this.#classes.length;
    }

    /** How many would go before an arrival: all that are more urgent, and of its class those whose time is up sooner. */
    ahead(item: Item): number {
        const classes = ORDER.slice(0, ORDER.indexOf(item.priority));
        const urgent = classes.reduce((sum, name) => sum + this.#classes.waiting(name), 0);
        const own = this.#tenants.get(item.priority)!.items();
        return urgent + own.filter(other => !sooner(item, other)).length;
    }

    push(item: Item): void {
        this.#classes.push(item.priority, item.priority);
        this.#tenants.get(item.priority)!.push(item.tenant, item);
    }

    shift(): Item | undefined {
        const priority = this.#classes.shift();
        return priority === undefined ? undefined : this.#tenants.get(priority)!.shift();
    }

    remove(item: Item): boolean {
        if (!this.#tenants.get(item.priority)!.remove(item.tenant, item)) {
            return false;
        }
        return this.#classes.remove(item.priority, item.priority);
    }

    /** Takes out whatever the test picks. */
    removeWhere(test: (item: Item) => boolean): Item[] {
        const picked = [...this.#tenants.values()].flatMap(queue => queue.items()).filter(test);
        picked.forEach(item => this.remove(item));
        return picked;
    }
}
