/** Defines the metrics of requests that are refused before an upstream receives them. */
import { Counter, type Registry } from "prom-client";
import type { ServiceName } from "../ids/servicename.js";
import type { AccessRefusalReason } from "../policy/access/accessrefusalreason.js";

/** Registers its counters in the daemon's registry. */
export class RefusalMetrics {
    readonly #heldBack: Counter<"service" | "reason">;
    readonly #accessRefusals: Counter<"reason">;
    readonly #quotaRefusals: Counter<"reason">;

    constructor(registry: Registry) {
        this.#heldBack = new Counter({
            name: "winglock_held_back_total",
            help:
                "Requests that a gate refused since its upstream is cold, or states a limit, and has been sent all that this allows.",
            labelNames: ["service", "reason"] as const,
            registers: [registry],
        });
        this.#accessRefusals = new Counter({
            name: "winglock_access_refused_total",
            help: "Callers' requests that were refused because of their key, by reason.",
            labelNames: ["reason"] as const,
            registers: [registry],
        });
        this.#quotaRefusals = new Counter({
            name: "winglock_quota_refused_total",
            help: "Callers' requests that were refused because of their team's quota.",
            labelNames: ["reason"] as const,
            registers: [registry],
        });
    }

    /** Records that a gate has refused a request because its upstream's cold limit or stated rate limit is used up. */
    countHeldBack(service: ServiceName, reason: "cold" | "limited"): void {
        this.#heldBack.inc({ service, reason });
    }

    /** Records that a caller's request was refused because of its key. */
    countAccessRefusal(reason: AccessRefusalReason): void {
        this.#accessRefusals.inc({ reason });
    }

    /** Records that a caller's request was refused because of its team's quota. */
    countQuotaRefusal(reason: "over-quota" | "quota-unknown"): void {
        this.#quotaRefusals.inc({ reason });
    }
}
