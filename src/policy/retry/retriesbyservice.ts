/** Holds one daemon's state for retries and hedges, by service. */
import type { Service } from "../../config/service.js";
import type { ServiceName } from "../../ids/servicename.js";
import { daemonAllowance } from "./daemonallowance.js";
import { HedgeDelay } from "./hedgedelay.js";
import type { RepeatBound } from "./repeatbound.js";
import type { Retries } from "./retries.js";
import { RetryBudget } from "./retrybudget.js";

/** The operators' bounds, and the start of the daemon in milliseconds on its clock. */
type RetryBounds = { readonly bound: RepeatBound; readonly burst: number; readonly startedAt: number; };

type ServiceState = Pick<Retries, "budget" | "hedgeDelay">;

/** Creates the state of a service when it is first requested. */
export class RetriesByService {
    readonly #stateByService = new Map<ServiceName, ServiceState>();
    #maxDaemonCount = 1;

    constructor(private readonly bounds: RetryBounds) {}

    /**
     * Records how many daemons are known now.
     *
     * The largest number counts, since daemons that are no longer known may only be unreachable from here and still
     * send requests.
     */
    recordDaemonCount(count: number): void {
        this.#maxDaemonCount = Math.max(this.#maxDaemonCount, count);
    }

    /** Returns the state of a service with its allowance at `now`, in milliseconds on the daemon's clock. */
    get({ name, retryRatio: serviceRatio }: Pick<Service, "name" | "retryRatio">, now: number): Retries {
        const { bound, burst, startedAt } = this.bounds;
        const input = { bound, burst, serviceRatio, daemonCount: this.#maxDaemonCount, uptimeMs: now - startedAt };
        return { ...this.#stateOf(name), allowance: daemonAllowance(input) };
    }

    #stateOf(service: ServiceName): ServiceState {
        const existing = this.#stateByService.get(service);
        if (existing !== undefined) {
            return existing;
        }
        const created = { budget: new RetryBudget(this.bounds.bound.windowMs), hedgeDelay: new HedgeDelay() };
        this.#stateByService.set(service, created);
        return created;
    }
}
