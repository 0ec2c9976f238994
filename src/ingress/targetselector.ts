/**
 * Selects the upstream for each attempt of one request. Which are eligible and which is best is decided in
 * policy/placement.
 */
import type { RegionName } from "../ids/regionname.js";
import { allowedRegions } from "../policy/access/allowedregions.js";
import { unplacedRetryAfterMs } from "../policy/admission/unplacedretryafterms.js";
import { allowedTargets } from "../policy/placement/allowedtargets.js";
import { availableTargets } from "../policy/placement/availabletargets.js";
import { findSpeedProbe } from "../policy/placement/findspeedprobe.js";
import { selectTargets } from "../policy/placement/selecttargets.js";
import { targetsAtHome } from "../policy/placement/targetsathome.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import { isRefusalAsFull } from "../policy/retry/isrefusalasfull.js";
import { isRefusalForLoad } from "../policy/retry/isrefusalforload.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { Plan } from "./plan.js";
import type { UnservedResult } from "./unservedresult.js";
import type { UpstreamView } from "./upstreamview.js";

/** The request to place. */
type SelectedRequest = {
    /** Returns the plan, which may change between attempts. */
    readonly plan: () => Plan;
    readonly bodyBytes: number;
    /** The upstreams that the request was sent to; read on each call. */
    readonly tried: ReadonlySet<UpstreamView>;
};

/** Reads the state of the upstreams on each call. */
export class TargetSelector {
    /** True if the last choice had to stay in the region because of the bound on what crosses. */
    #isHeldBack = false;
    /** True if the last attempt showed that the own region is full. */
    #isRegionFull = false;

    constructor(private readonly deps: IngressDependencies, private readonly request: SelectedRequest) {}

    /** The result of a request for which no upstream is eligible before its first attempt. */
    get unplacedResult(): UnservedResult {
        const isRegional = this.#allowedRegions.some(list => list !== undefined);
        return {
            outcome: "not-run",
            reason: this.#isHeldBack ? "crossing-limit" : isRegional ? "region-unavailable" : "no-upstream",
            retryAfterMs: unplacedRetryAfterMs,
        };
    }

    /**
     * Returns the upstream to send to, preferring the one that holds a slot for the request, or undefined if none is
     * eligible.
     */
    choose(slotHolder: string | undefined): UpstreamView | undefined {
        const now = this.deps.clock();
        const views = this.#staysInRegion() ? targetsAtHome(this.#views, now) : this.#views;
        const holder = views.find(view => view.upstream === slotHolder);
        if (holder !== undefined && !holder.isLeavingPermanently && this.#mayCross(holder)) {
            return holder;
        }
        return this.#place(views, now);
    }

    /** Records the result of an attempt, by which the next requests leave the hall or the region, or stay. */
    record(target: UpstreamView, result: AttemptResult<unknown>): void {
        const { upstreams, clock } = this.deps;
        const reason = result.outcome === "not-run" ? result.reason : undefined;
        const isRefused = reason !== undefined && isRefusalForLoad(reason);
        if (isRefused || result.outcome === "served" || result.outcome === "failed") {
            upstreams.overflow(this.request.plan().service.name).record(target, isRefused, clock());
        }
        this.#isRegionFull = reason !== undefined && isRefusalAsFull(reason) && target.sameRegion;
    }

    /** Returns the upstream for a hedge, which stays in the region while an upstream there is available. */
    chooseForHedge(): UpstreamView | undefined {
        const now = this.deps.clock();
        return this.#place(targetsAtHome(this.#views, now), now);
    }

    /**
     * Returns the available upstreams that the request was not sent to yet, in the region of `target`. A gate that may
     * refuse a request early because of others counts only these: a redirect to another region costs more time than
     * the wait that it saves.
     */
    untried(target: UpstreamView): UpstreamView[] {
        const now = this.deps.clock();
        return availableTargets(this.#views, this.request.tried, now)
            .filter(view => view.region === target.region);
    }

    /** Places the request; one that may not cross now stays in the region, if an upstream there is eligible. */
    #place(views: readonly UpstreamView[], now: number): UpstreamView | undefined {
        const target = this.#best(views, now);
        return target === undefined || this.#mayCross(target)
            ? target
            : this.#best(views.filter(view => view.sameRegion), now);
    }

    #mayCross(target: UpstreamView): boolean {
        this.#isHeldBack = !target.sameRegion && !this.deps.allowsCrossing(this.request.bodyBytes);
        return !this.#isHeldBack;
    }

    #best(views: readonly UpstreamView[], now: number): UpstreamView | undefined {
        const { placement, random, daemonCount } = this.deps;
        const { tried, bodyBytes } = this.request;
        const targets = selectTargets(views, tried, now);
        const home = targets.filter(view => view.sameRegion);
        const probeable = home.length === 0 ? targets : home;
        return probeable.find(view => view.isRateProbeDue(now))
            ?? findSpeedProbe(probeable, daemonCount(), now)
            ?? placement.choose(this.#withOverflow(targets, now), now, random, { bodyBytes }) as
                | UpstreamView
                | undefined;
    }

    /** Leaves out the own hall or region for a share of the requests while its gates refuse them for load. */
    #withOverflow(targets: readonly UpstreamView[], now: number): readonly UpstreamView[] {
        const { upstreams, random } = this.deps;
        const { plan, bodyBytes } = this.request;
        const { name } = plan().service;
        if (upstreams.ofService(name).every(view => view.sameRegion)) {
            return targets;
        }
        const request = { bodyBytes, mayLeaveRegion: !this.#staysInRegion(), isRegionFull: this.#isRegionFull };
        return upstreams.overflow(name).select(targets, request, now, random);
    }

    /** A body that another region has refused is not sent there again while an upstream at home is available. */
    #staysInRegion(): boolean {
        const { plan, bodyBytes, tried } = this.request;
        return plan().depth > 0 || (bodyBytes > 0 && [...tried].some(view => !view.sameRegion));
    }

    get #views(): readonly UpstreamView[] {
        const views = this.deps.upstreams.ofService(this.request.plan().service.name);
        return allowedTargets(views, this.#allowedRegions);
    }

    /** The regions that the plan allows, and those of its present rule, which may be newer. */
    get #allowedRegions(): readonly (readonly RegionName[] | undefined)[] {
        const { regions, rule } = this.request.plan();
        return [regions, allowedRegions(rule.regions, undefined)];
    }
}
