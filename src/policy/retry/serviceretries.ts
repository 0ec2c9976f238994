/** What one daemon holds of all services for attempts after the first. */
import type { ServiceName } from "../../ids/servicename.js";
import { Hedging } from "./hedging.js";
import type { Retries } from "./retries.js";
import { RetryBudget } from "./retrybudget.js";

/** Made for a service when it is first asked for. */
export class ServiceRetries {
    readonly #byService = new Map<ServiceName, Retries>();

    /** `burst` is each budget's start. */
    constructor(private readonly burst: number) {}

    of(service: ServiceName): Retries {
        const known = this.#byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const retries = { budget: new RetryBudget(this.burst), hedging: new Hedging() };
        this.#byService.set(service, retries);
        return retries;
    }
}
