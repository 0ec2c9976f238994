/** An ingress of a model: the daemon's own placement, waits and bounds of moves. */
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

/** Between hosts, one way, in milliseconds. */
const HOP_LATENCY_MS = 0.5;
/** As deploy/settings.json sets them. */
const PLACEMENT = { leaveHallCost: 1.5, ownWeight: 3, loadFadeMs: 50 };
/** The service's own bound, in milliseconds. */
const SERVICE_MAX_WAIT_MS = 1000;
/** Refused by this many gates after its moves, a request is given up. */
const MAX_REFUSALS_RETRIED = 1;

type IngressDependencies = { readonly loop: EventLoop; readonly random: RandomSource; readonly hall: number; };

/** Forgets what it knew of upstreams at a restart, since it is made anew. */
export class ModelIngress {
    readonly #placement = new ExpectedTime(PLACEMENT);
    readonly #views = new Map<ModelTarget, ModelView>();

    constructor(private readonly deps: IngressDependencies) {}

    /** `done` is called once. */
    serve(sent: SentRequest, hosts: readonly ModelTarget[], done: (end: ModelResult) => void): void {
        const views = hosts.filter(host => host.service === sent.kind.service).map(host => this.#viewOf(host));
        this.#attempt(sent, views, { tried: new Set<ModelView>(), redirects: 0, refusals: 0 }, done);
    }

    #attempt(
        sent: SentRequest,
        views: readonly ModelView[],
        progress: { readonly tried: Set<ModelView>; redirects: number; refusals: number; },
        done: (end: ModelResult) => void,
    ): void {
        const { loop, random } = this.deps;
        const target = this.#placement.choose(selectTargets(views, progress.tried, loop.now), loop.now, random) as
            | ModelView
            | undefined;
        if (target === undefined) {
            done({ outcome: "refused", reason: "busy", retryAfterMs: 250 });
            return;
        }
        progress.tried.add(target);
        const untried = progress.redirects < maxRedirects ? availableTargets(views, progress.tried, loop.now) : [];
        const request = this.#createRequest(sent, untried);
        target.outstanding += 1;
        const onResult = (end: ModelResult): void => {
            loop.schedule(HOP_LATENCY_MS, () => {
                target.outstanding -= 1;
                target.recordReport(loop.now);
                if (end.outcome === "refused" && end.reason === "cold") {
                    target.recordCold(loop.now);
                }
                const isRedirect = end.outcome === "refused" && ["busy", "cold", "slow"].includes(end.reason);
                const isFull = end.outcome === "refused" && !isRedirect && end.reason !== "deadline";
                if (isRedirect && progress.redirects <= maxRedirects) {
                    progress.redirects += 1;
                    this.#attempt(sent, views, progress, done);
                }
                else if (isFull && progress.refusals < MAX_REFUSALS_RETRIED && untried.length > 0) {
                    progress.refusals += 1;
                    this.#attempt(sent, views, progress, done);
                }
                else {
                    done(end);
                }
            });
        };
        loop.schedule(HOP_LATENCY_MS, () => target.host.gate.serve(request, onResult));
    }

    #createRequest(sent: SentRequest, untried: readonly ModelView[]): ModelRequest {
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
            choices: untried.length,
            nearChoices: untried.filter(view => view.sameHall).length,
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
