/** What one daemon holds of all services for attempts after the first. */
import type { Service } from "../../config/service.js";
import type { ServiceName } from "../../ids/servicename.js";
import { Hedging } from "./hedging.js";
import { ownAllowance } from "./ownallowance.js";
import type { RepeatBound } from "./repeatbound.js";
import type { Retries } from "./retries.js";
import { RetryBudget } from "./retrybudget.js";

/** The operators' bounds; `startedAt` is the daemon's start on its clock, in milliseconds. */
type Bounds = { readonly bound: RepeatBound; readonly burst: number; readonly startedAt: number; };

type Held = Pick<Retries, "budget" | "hedging">;

/** Made for a service when it is first asked for. */
export class ServiceRetries {
    readonly #byService = new Map<ServiceName, Held>();
    #daemons = 1;

    constructor(private readonly bounds: Bounds) {}

    /** Records how many daemons are known. Those that are no longer known may only be cut off, and still send. */
    recordDaemons(count: number): void {
        this.#daemons = Math.max(this.#daemons, count);
    }

    of({ name, retryRatio: serviceRatio }: Pick<Service, "name" | "retryRatio">, now: number): Retries {
        const { bound, burst, startedAt } = this.bounds;
        const part = { bound, burst, serviceRatio, daemons: this.#daemons, aliveMs: now - startedAt };
        return { ...this.#held(name), allowance: ownAllowance(part) };
    }

    #held(service: ServiceName): Held {
        const known = this.#byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const held = { budget: new RetryBudget(this.bounds.bound.windowMs), hedging: new Hedging() };
        this.#byService.set(service, held);
        return held;
    }
}
