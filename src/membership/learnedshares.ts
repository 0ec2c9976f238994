/**
 * Shares the knees that gates have learned with other daemons, and with later incarnations of this one.
 *
 * A knee is published in the daemon's record as a share of the upstream's slots. A daemon that starts, alone or
 * together with all others after a power failure, has no time to learn it, since its upstream is cold and its callers
 * have been waiting. The records of earlier incarnations stay in the store until their leases expire. In a model of 13
 * hosts that restart together under load (src/policy/model, four seeds), 0.46, 0.51 and 0.77 of the requests of the
 * second, third and fourth second get their responses in time with this sharing, and 0.35, 0.29 and 0.58 without it.
 */
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { medianShare } from "../policy/admission/medianshare.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";

/** Each publication is a write to the store, and every daemon that watches the records receives it. */
const MIN_PUBLISH_INTERVAL_MS = 5000;
/** Smallest change that is published, as a share of the slots. Probing the next level changes a limit by less. */
const MIN_SHARE_CHANGE = 0.1;
/** Shares in records are rounded to hundredths. */
const ROUNDING_FACTOR = 100;

type LearnedSharesDependencies = {
    /** The incarnation of this daemon. */
    readonly incarnation: Incarnation;
    /** Returns the knee that the gate of a local upstream has learned, as a share of its slots; undefined if none. */
    readonly learnedShare: (name: UpstreamName) => number | undefined;
};

/** Holds the shares that one daemon publishes in its record. */
export class LearnedShares {
    /** The shares in the record, by upstream. */
    #published = new Map<UpstreamName, number>();
    /** Time at which a publication was last due, in milliseconds on the daemon's clock. */
    #lastPublishAt = -Infinity;
    /** The upstreams in the record of this daemon's previous incarnation. */
    #earlierUpstreams: readonly HostedUpstream[] = [];

    constructor(private readonly deps: LearnedSharesDependencies) {}

    /** Records this daemon's record from the store; one of an earlier incarnation holds the shares learned then. */
    recordOwn({ incarnation, upstreams }: Member): void {
        if (incarnation !== this.deps.incarnation) {
            this.#earlierUpstreams = upstreams;
        }
    }

    /**
     * Sets the shares in the next version of the record: for each local upstream the share that its gate has learned,
     * or else the median of its service. `others` are the upstreams in the records of other daemons.
     */
    setPublished(upstreams: readonly HostedUpstream[], others: readonly HostedUpstream[]): void {
        const published = new Map<UpstreamName, number>();
        for (const { name, service } of upstreams) {
            const share = this.deps.learnedShare(name) ?? this.medianShareOf(service, others);
            if (share !== undefined) {
                published.set(name, Math.round(share * ROUNDING_FACTOR) / ROUNDING_FACTOR);
            }
        }
        this.#published = published;
    }

    /** Returns the upstreams with the shares that the record has for them. */
    withShares(upstreams: readonly HostedUpstream[]): HostedUpstream[] {
        return upstreams.map(upstream => {
            const limitShare = this.#published.get(upstream.name);
            return limitShare === undefined ? upstream : { ...upstream, limitShare };
        });
    }

    /**
     * Returns the median share of a service's upstreams in the records of other daemons and in this daemon's earlier
     * record, or undefined if none has a share.
     */
    medianShareOf(service: ServiceName, others: readonly HostedUpstream[]): number | undefined {
        const known = [...others, ...this.#earlierUpstreams].filter(upstream => upstream.service === service);
        return medianShare(known.map(upstream => upstream.limitShare).filter(share => share !== undefined));
    }

    /**
     * Returns true if the record should be published again: a gate has learned a share that clearly differs from the
     * published one, or from the median of its service if none is published, and the last such result is
     * `MIN_PUBLISH_INTERVAL_MS` old. So one gate of a service publishes for all.
     */
    isDue(upstreams: readonly HostedUpstream[], others: readonly HostedUpstream[], now: number): boolean {
        const hasChanged = ({ name, service }: HostedUpstream): boolean => {
            const share = this.deps.learnedShare(name);
            const known = this.#published.get(name) ?? this.medianShareOf(service, others) ?? 0;
            return share !== undefined && Math.abs(share - known) > MIN_SHARE_CHANGE;
        };
        if (now - this.#lastPublishAt < MIN_PUBLISH_INTERVAL_MS || !upstreams.some(hasChanged)) {
            return false;
        }
        this.#lastPublishAt = now;
        return true;
    }
}
