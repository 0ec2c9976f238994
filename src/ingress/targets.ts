/** The upstreams that one request can go to. Which of them may be, and which is best, is decided in policy/placement. */
import type { ServiceName } from "../ids/servicename.js";
import { availableOf } from "../policy/placement/availableof.js";
import { selectTargets } from "../policy/placement/selecttargets.js";
import type { IngressParts } from "./ingressparts.js";
import type { UpstreamView } from "./upstreamview.js";

/** `tried` is read at each call: the request has been sent there. */
export class Targets {
    constructor(private readonly parts: IngressParts, private readonly tried: ReadonlySet<UpstreamView>) {}

    /** Chooses one; the upstream that holds a slot for the request goes first. Undefined when none may be sent it now. */
    choose(service: ServiceName, holdsSlot: string | undefined): UpstreamView | undefined {
        const { placement, random, clock } = this.parts;
        const all = this.#all(service);
        const now = clock();
        const named = all.find(view => view.upstream === holdsSlot);
        if (named !== undefined && !named.isEnding) {
            return named;
        }
        const targets = selectTargets(all, this.tried, now);
        return targets.find(view => view.isDue(now))
            ?? placement.choose(targets, now, random) as UpstreamView | undefined;
    }

    /** Those that are available and that the request has not been sent to. */
    untried(service: ServiceName): UpstreamView[] {
        return availableOf(this.#all(service), this.tried, this.parts.clock());
    }

    #all(service: ServiceName): readonly UpstreamView[] {
        return this.parts.upstreams.ofService(service);
    }
}
