/** An ingress of a model: the daemon's own placement, waits and bounds of moves. */
import { maxWait } from "../admission/maxwait.js";
import { availableTargets } from "../placement/availabletargets.js";
import { ExpectedTime } from "../placement/expectedtime.js";
import { selectTargets } from "../placement/selecttargets.js";
import type { RandomSource } from "../randomsource.js";
import { maxRedirects } from "../retry/maxredirects.js";
import type { EventLoop } from "./eventloop.js";
import type { ModelEnd } from "./modelresult.js";
import type { ModelRequest } from "./modelrequest.js";
import type { ModelSent } from "./sentrequest.js";
import type { ModelTarget } from "./modeltarget.js";
import { modelTeam } from "./modelteam.js";
import { ModelView } from "./modelview.js";
import { ruleOf } from "./ruleof.js";

/** Between hosts, one way, in milliseconds. */
const HOP_MS = 0.5;
/** As deploy/settings.json sets them. */
const PLACEMENT = { leaveHallCost: 1.5, ownWeight: 3, loadFadeMs: 50 };
/** The service's own bound, in milliseconds. */
const SERVICE_MAX_WAIT_MS = 1000;
/** Refused by this many gates after its moves, a request is given up. */
const MAX_REFUSALS = 1;

type IngressDependencies = { readonly loop: EventLoop; readonly random: RandomSource; readonly hall: number; };

/** Forgets what it knew of upstreams at a restart, since it is made anew. */
export class ModelIngress {
    readonly #placement = new ExpectedTime(PLACEMENT);
    readonly #views = new Map<ModelTarget, ModelView>();

    constructor(private readonly deps: IngressDependencies) {}

    /** `done` is called once. */
    serve(sent: ModelSent, hosts: readonly ModelTarget[], done: (end: ModelEnd) => void): void {
        const views = hosts.filter(host => host.service === sent.kind.service).map(host => this.#viewOf(host));
        this.#try(sent, views, { tried: new Set<ModelView>(), moves: 0, refusals: 0 }, done);
    }

    #try(
        sent: ModelSent,
        views: readonly ModelView[],
        so: { readonly tried: Set<ModelView>; moves: number; refusals: number; },
        done: (end: ModelEnd) => void,
    ): void {
        const { loop, random } = this.deps;
        const target = this.#placement.choose(selectTargets(views, so.tried, loop.now), loop.now, random) as
            | ModelView
            | undefined;
        if (target === undefined) {
            done({ outcome: "refused", reason: "busy", retryAfterMs: 250 });
            return;
        }
        so.tried.add(target);
        const untried = so.moves < maxRedirects ? availableTargets(views, so.tried, loop.now) : [];
        const request = this.#request(sent, untried);
        target.outstanding += 1;
        const onEnd = (end: ModelEnd): void => {
            loop.in(HOP_MS, () => {
                target.outstanding -= 1;
                target.recordReport(loop.now);
                if (end.outcome === "refused" && end.reason === "cold") {
                    target.recordCold(loop.now);
                }
                const isMove = end.outcome === "refused" && ["busy", "cold", "slow"].includes(end.reason);
                const isFull = end.outcome === "refused" && !isMove && end.reason !== "deadline";
                if (isMove && so.moves <= maxRedirects) {
                    so.moves += 1;
                    this.#try(sent, views, so, done);
                }
                else if (isFull && so.refusals < MAX_REFUSALS && untried.length > 0) {
                    so.refusals += 1;
                    this.#try(sent, views, so, done);
                }
                else {
                    done(end);
                }
            });
        };
        loop.in(HOP_MS, () => target.host.gate.serve(request, onEnd));
    }

    #request(sent: ModelSent, untried: readonly ModelView[]): ModelRequest {
        const { loop } = this.deps;
        const { kind, priority, deadline, depth, firstAt } = sent;
        const wait = { serviceMaxWaitMs: SERVICE_MAX_WAIT_MS, targetMs: kind.targetMs, startedAt: firstAt, depth };
        return {
            sent,
            priority,
            team: modelTeam,
            deadline,
            maxWaitMs: maxWait(wait, loop.now),
            rule: ruleOf(kind.name),
            choices: untried.length,
            nearChoices: untried.filter(view => view.sameHall).length,
            grant: () => {},
            refuse: () => {},
        };
    }

    #viewOf(host: ModelTarget): ModelView {
        const known = this.#views.get(host);
        if (known !== undefined) {
            return known;
        }
        const view = new ModelView(host, host.hall === this.deps.hall);
        this.#views.set(host, view);
        return view;
    }
}
