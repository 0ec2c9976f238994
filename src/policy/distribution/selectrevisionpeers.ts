/**
 * Decides to which peers a daemon announces a new revision of the configuration.
 *
 * Heartbeats of the watchers announce it to each daemon of their halls, but a watcher may have stopped, and its send
 * budget spreads the heartbeats of a large hall over seconds. Most peers are in the own hall, because the update that
 * they pull is large; some are in another hall of the region, whose watchers may all have stopped.
 */
import type { HallName } from "../../ids/hallname.js";
import type { RegionName } from "../../ids/regionname.js";
import { sample } from "../placement/sample.js";
import type { RandomSource } from "../randomsource.js";

/** Peers in the own hall: with two rounds, fewer than one daemon in a hundred gets no announcement in its hall. */
const OWN_HALL_FANOUT = 3;
/** Peers in other halls: many daemons send these, so that they reach a hall without watchers. */
const OTHER_HALL_FANOUT = 1;

type Place = { readonly hall: HallName; readonly region: RegionName; };

/** Returns random peers, those of the own hall first. */
export function selectRevisionPeers<Peer extends Place>(
    peers: readonly Peer[],
    { hall, region }: Place,
    random: RandomSource,
): Peer[] {
    const sameRegion = peers.filter(peer => peer.region === region);
    return [
        ...sample(sameRegion.filter(peer => peer.hall === hall), OWN_HALL_FANOUT, random),
        ...sample(sameRegion.filter(peer => peer.hall !== hall), OTHER_HALL_FANOUT, random),
    ];
}
