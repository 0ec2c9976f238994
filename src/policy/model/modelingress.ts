/** Simulates an ingress: the daemon's own placement, queueing limits and redirect limits, in simulated time. */
import { maxWait } from "../admission/maxwait.js";
import { availableTargets } from "../placement/availabletargets.js";
import { ExpectedTime } from "../placement/expectedtime.js";
import { Overflow } from "../placement/overflow.js";
import { selectTargets } from "../placement/selecttargets.js";
import { targetsAtHome } from "../placement/targetsathome.js";
import type { RandomSource } from "../randomsource.js";
import { maxRedirects } from "../retry/maxredirects.js";
import type { EventLoop } from "./eventloop.js";
import type { ModelRequest } from "./modelrequest.js";
import type { ModelResult } from "./modelresult.js";
import type { ModelTarget } from "./modeltarget.js";
import { modelTeam } from "./modelteam.js";
import { ModelView } from "./modelview.js";
import { ruleOf } from "./ruleof.js";
import type { SentRequest } from "./sentrequest.js";

/** Round trip of a message between two hosts of a region. */
const ROUND_TRIP_MS = 1;
/** Round trip of a message between two hosts of different regions. */
const REGION_ROUND_TRIP_MS = 60;
/** The options of the placement in deploy/settings.json. */
const PLACEMENT = { leaveHallCost: 1.5, leaveRegionCost: 3, ownWeight: 3, loadFadeMs: 50 };
/** The longest time that a service lets a request be queued. */
const SERVICE_MAX_WAIT_MS = 1000;
/** A request that was refused, but not redirected, is sent to this many other gates. */
const MAX_ATTEMPTS_AFTER_REFUSAL = 1;

type IngressDependencies = {
    readonly loop: EventLoop;
    readonly random: RandomSource;
    readonly hall: number;
    readonly region?: number;
    /** Called for each attempt. */
    readonly onPlaced?: (target: ModelTarget, sent: SentRequest) => void;
};

/** A restart replaces the ingress, so its knowledge of the upstreams is lost. */
export class ModelIngress {
    readonly #placement = new ExpectedTime(PLACEMENT);
    readonly #views = new Map<ModelTarget, ModelView>();
    readonly #overflows = new Map<string, Overflow>();

    constructor(private readonly deps: IngressDependencies) {}

    /** Sends a request to the hosts of its service until one serves it; `done` is called once. */
    serve(sent: SentRequest, hosts: readonly ModelTarget[], done: (result: ModelResult) => void): void {
        const views = hosts.filter(host => host.service === sent.kind.service).map(host => this.#viewOf(host));
        this.#attempt(
            sent,
            views,
            { attempted: new Set<ModelView>(), redirects: 0, refusals: 0, isRegionFull: false },
            done,
        );
    }

    #attempt(
        sent: SentRequest,
        views: readonly ModelView[],
        progress: { readonly attempted: Set<ModelView>; redirects: number; refusals: number; isRegionFull: boolean; },
        done: (result: ModelResult) => void,
    ): void {
        const { loop, random, onPlaced } = this.deps;
        const eligible = sent.depth > 0 ? targetsAtHome(views, loop.now) : views;
        const untried = selectTargets(eligible, progress.attempted, loop.now);
        const overflowing = { bodyBytes: 0, mayLeaveRegion: sent.depth === 0, isRegionFull: progress.isRegionFull };
        const targets = views.every(({ sameRegion }) => sameRegion)
            ? untried
            : this.#overflowOf(sent.kind.service).select(untried, overflowing, loop.now, random);
        const target = this.#placement.choose(targets, loop.now, random) as ModelView | undefined;
        if (target === undefined) {
            done({ outcome: "refused", reason: "busy", retryAfterMs: 250 });
            return;
        }
        progress.attempted.add(target);
        onPlaced?.(target.host, sent);
        const otherTargets = progress.redirects < maxRedirects
            ? availableTargets(views, progress.attempted, loop.now)
                .filter(({ host }) => host.region === target.host.region)
            : [];
        const request = this.#createRequest(sent, otherTargets);
        target.outstanding += 1;
        const onResult = (result: ModelResult): void => {
            loop.schedule(target.roundTripMs / 2, () => {
                target.outstanding -= 1;
                target.recordReport(loop.now);
                if (result.outcome === "refused" && result.reason === "cold") {
                    target.recordCold(loop.now);
                }
                const isRedirect = result.outcome === "refused" && ["busy", "cold", "slow"].includes(result.reason);
                const isFull = result.outcome === "refused" && !isRedirect && result.reason !== "deadline";
                this.#overflowOf(sent.kind.service).record(target, isRedirect || isFull, loop.now);
                progress.isRegionFull = isFull && target.sameRegion;
                if (isRedirect && progress.redirects <= maxRedirects) {
                    progress.redirects += 1;
                    this.#attempt(sent, views, progress, done);
                }
                else if (isFull && progress.refusals < MAX_ATTEMPTS_AFTER_REFUSAL && otherTargets.length > 0) {
                    progress.refusals += 1;
                    this.#attempt(sent, views, progress, done);
                }
                else {
                    done(result);
                }
            });
        };
        loop.schedule(target.roundTripMs / 2, () => target.host.gate.serve(request, onResult));
    }

    #overflowOf(service: string): Overflow {
        const known = this.#overflows.get(service) ?? new Overflow();
        this.#overflows.set(service, known);
        return known;
    }

    #createRequest(sent: SentRequest, otherTargets: readonly ModelView[]): ModelRequest {
        const { loop } = this.deps;
        const { kind, priority, deadline, depth, firstAttemptAt } = sent;
        const wait = {
            serviceMaxWaitMs: SERVICE_MAX_WAIT_MS,
            targetMs: kind.targetMs,
            startedAt: firstAttemptAt,
            depth,
        };
        return {
            sent,
            priority,
            team: modelTeam,
            deadline,
            maxWaitMs: maxWait(wait, loop.now),
            rule: ruleOf(kind.name),
            choices: otherTargets.length,
            nearChoices: otherTargets.filter(view => view.sameHall).length,
            start: () => {},
            refuse: () => {},
        };
    }

    #viewOf(host: ModelTarget): ModelView {
        const existing = this.#views.get(host);
        if (existing !== undefined) {
            return existing;
        }
        const { hall, region } = this.deps;
        const isSameRegion = host.region === region;
        const roundTripMs = isSameRegion ? ROUND_TRIP_MS : REGION_ROUND_TRIP_MS;
        const view = new ModelView(host, host.hall === hall, isSameRegion, roundTripMs);
        this.#views.set(host, view);
        return view;
    }
}
