/** Simulates an ingress: the daemon's own placement, queueing limits and redirect limits, in simulated time. */
import { maxWait } from "../admission/maxwait.js";
import { availableTargets } from "../placement/availabletargets.js";
import { ExpectedTime } from "../placement/expectedtime.js";
import { selectTargets } from "../placement/selecttargets.js";
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

/** Latency of a message between two hosts, one way. */
const HOP_LATENCY_MS = 0.5;
/** The options of the placement in deploy/settings.json. */
const PLACEMENT = { leaveHallCost: 1.5, ownWeight: 3, loadFadeMs: 50 };
/** The longest time that a service lets a request be queued. */
const SERVICE_MAX_WAIT_MS = 1000;
/** A request that was refused, but not redirected, is sent to this many other gates. */
const MAX_ATTEMPTS_AFTER_REFUSAL = 1;

type IngressDependencies = { readonly loop: EventLoop; readonly random: RandomSource; readonly hall: number; };

/** A restart replaces the ingress, so its knowledge of the upstreams is lost. */
export class ModelIngress {
    readonly #placement = new ExpectedTime(PLACEMENT);
    readonly #views = new Map<ModelTarget, ModelView>();

    constructor(private readonly deps: IngressDependencies) {}

    /** Sends a request to the hosts of its service until one serves it; `done` is called once. */
    serve(sent: SentRequest, hosts: readonly ModelTarget[], done: (result: ModelResult) => void): void {
        const views = hosts.filter(host => host.service === sent.kind.service).map(host => this.#viewOf(host));
        this.#attempt(sent, views, { attempted: new Set<ModelView>(), redirects: 0, refusals: 0 }, done);
    }

    #attempt(
        sent: SentRequest,
        views: readonly ModelView[],
        progress: { readonly attempted: Set<ModelView>; redirects: number; refusals: number; },
        done: (result: ModelResult) => void,
    ): void {
        const { loop, random } = this.deps;
        const target = this.#placement.choose(selectTargets(views, progress.attempted, loop.now), loop.now, random) as
            | ModelView
            | undefined;
        if (target === undefined) {
            done({ outcome: "refused", reason: "busy", retryAfterMs: 250 });
            return;
        }
        progress.attempted.add(target);
        const otherTargets = progress.redirects < maxRedirects
            ? availableTargets(views, progress.attempted, loop.now)
            : [];
        const request = this.#createRequest(sent, otherTargets);
        target.outstanding += 1;
        const onResult = (result: ModelResult): void => {
            loop.schedule(HOP_LATENCY_MS, () => {
                target.outstanding -= 1;
                target.recordReport(loop.now);
                if (result.outcome === "refused" && result.reason === "cold") {
                    target.recordCold(loop.now);
                }
                const isRedirect = result.outcome === "refused" && ["busy", "cold", "slow"].includes(result.reason);
                const isFull = result.outcome === "refused" && !isRedirect && result.reason !== "deadline";
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
        loop.schedule(HOP_LATENCY_MS, () => target.host.gate.serve(request, onResult));
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
        const view = new ModelView(host, host.hall === this.deps.hall);
        this.#views.set(host, view);
        return view;
    }
}
