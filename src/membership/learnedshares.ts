/**
 * What gates have learnt of where their upstreams slow down, as records carry it from daemon to daemon and from life to life.
 *
 * A daemon that starts, alone or with all others after a loss of power, has no time to find it out: its upstream is cold and its
 * callers have waited. The records of the earlier lives are in the store for as long as their leases run. In a model of 13 hosts
 * that restart together under load (src/policy/model, four seeds) 0.46, 0.51 and 0.77 of the requests of the second to fourth
 * second are answered in time with it, 0.35, 0.29 and 0.58 without.
 */
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { medianShare } from "../policy/admission/medianshare.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";

/** Each telling is a write to the store, and each daemon's watch of the records comes back with it; milliseconds. */
const TELL_EVERY_MS = 5000;
/** Of the slots: less is what a limit that tries a level more moves by. */
const WORTH_TELLING = 0.1;
/** Records hold whole hundredths. */
const HUNDREDTHS = 100;

/** `learnedShare` says what the gate of an upstream here has learnt, of its slots; undefined while nothing. */
type ShareDependencies = {
    readonly incarnation: Incarnation;
    readonly learnedShare: (name: UpstreamName) => number | undefined;
};

/** Of one daemon. */
export class LearnedShares {
    /** What the record says, by upstream. */
    #told = new Map<UpstreamName, number>();
    #toldAt = -Infinity;
    #earlier: readonly HostedUpstream[] = [];

    constructor(private readonly deps: ShareDependencies) {}

    /** Records what the store has under this daemon's name; one of an earlier life tells what was learnt then. */
    recordOwn({ incarnation, upstreams }: Member): void {
        if (incarnation !== this.deps.incarnation) {
            this.#earlier = upstreams;
        }
    }

    /** Settles what the next version of the record says of the upstreams here: what is known of each, or else of its service. */
    tell(upstreams: readonly HostedUpstream[], others: readonly HostedUpstream[]): void {
        const told = new Map<UpstreamName, number>();
        for (const { name, service } of upstreams) {
            const share = this.deps.learnedShare(name) ?? this.usual(service, others);
            if (share !== undefined) {
                told.set(name, Math.round(share * HUNDREDTHS) / HUNDREDTHS);
            }
        }
        this.#told = told;
    }

    /** The upstreams with what the record says of them. */
    mark(upstreams: readonly HostedUpstream[]): HostedUpstream[] {
        return upstreams.map(upstream => {
            const limitShare = this.#told.get(upstream.name);
            return limitShare === undefined ? upstream : { ...upstream, limitShare };
        });
    }

    /** What is usual for a service, by the records of others and by this daemon's earlier one; undefined where nothing is known. */
    usual(service: ServiceName, others: readonly HostedUpstream[]): number | undefined {
        const known = [...others, ...this.#earlier].filter(upstream => upstream.service === service);
        return medianShare(known.map(upstream => upstream.limitShare).filter(share => share !== undefined));
    }

    /** True when something else has been learnt than records say of the service, now and then: one of its gates tells for all. */
    hasNews(upstreams: readonly HostedUpstream[], others: readonly HostedUpstream[], now: number): boolean {
        const isNew = ({ name, service }: HostedUpstream): boolean => {
            const share = this.deps.learnedShare(name);
            const known = this.#told.get(name) ?? this.usual(service, others) ?? 0;
            return share !== undefined && Math.abs(share - known) > WORTH_TELLING;
        };
        if (now - this.#toldAt < TELL_EVERY_MS || !upstreams.some(isNew)) {
            return false;
        }
        this.#toldAt = now;
        return true;
    }
}
