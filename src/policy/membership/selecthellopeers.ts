/**
 * Decides which peers get a hello in a round of gossip.
 *
 * A hello to another region uses the link that all regions share, and in a mesh of two regions half of those to random
 * peers would. Records and revisions reach other halls by relays and heartbeats as well; one hello a round keeps the
 * regions in contact if these fail. Within one region, all peers are chosen at random.
 */
import type { RegionName } from "../../ids/regionname.js";
import { sample } from "../placement/sample.js";
import type { RandomSource } from "../randomsource.js";

/** The number of hellos of a round that go to other regions. */
const OTHER_REGION_FANOUT = 1;

/** Returns `fanout` peers at random, one of them in another region if there is one. */
export function selectHelloPeers<Peer extends { readonly region: RegionName; }>(
    peers: readonly Peer[],
    { region, fanout }: { readonly region: RegionName; readonly fanout: number; },
    random: RandomSource,
): Peer[] {
    const elsewhere = peers.filter(peer => peer.region !== region);
    if (elsewhere.length === 0 || elsewhere.length === peers.length) {
        return sample(peers, fanout, random);
    }
    const across = sample(elsewhere, OTHER_REGION_FANOUT, random);
    const near = sample(peers.filter(peer => peer.region === region), fanout - across.length, random);
    return [...near, ...across];
}
