/** The state of a planned stop at the ingress: its schedule, and what has become of the requests since it began. */
import { acceptsWhileStopping } from "../policy/stop/acceptswhilestopping.js";
import { stoppingRetryAfterMs } from "../policy/stop/stoppingretryafterms.js";
import type { StopSchedule } from "../policy/stop/stopschedule.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { RequestRefusal } from "./requestrefusal.js";
import { StopCounts } from "./stopcounts.js";

/** Created when the stop begins. */
export class PlannedStop {
    readonly counts: StopCounts;

    /** `inFlight` is the number of requests that were accepted before. */
    constructor(private readonly schedule: StopSchedule, inFlight: number) {
        this.counts = new StopCounts(inFlight);
    }

    /** Returns the refusal of a request that the stop could cut off, or undefined if the request is accepted. */
    refusal(plan: Plan, log: RequestLog, now: number): RequestRefusal | undefined {
        if (acceptsWhileStopping(plan, this.schedule, now)) {
            return undefined;
        }
        log.refusedByStop(plan.deadline - now, this.schedule.limitAt - now);
        const retryAfterMs = stoppingRetryAfterMs(this.schedule, now);
        return { type: "refusal", problem: "stopping", detail: "", retryAfterMs };
    }
}
