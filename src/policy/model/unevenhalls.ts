/**
 * Simulates a mesh of two regions with two halls each, whose halls have unequal demand and unequal numbers of
 * upstreams, with the daemon's own policies.
 *
 * Every host has an ingress. Ingresses learn of the load of upstreams from the responses that they get, so that their
 * reports age. The demand of each hall swings over 15 s, one hall after another.
 */
import type { RandomSource } from "../randomsource.js";
import { SplitSampler } from "../routing/splitsampler.js";
import { EventLoop } from "./eventloop.js";
import type { ModelCall } from "./modelcall.js";
import { ModelGate } from "./modelgate.js";
import { ModelIngress } from "./modelingress.js";
import type { ModelTarget } from "./modeltarget.js";
import { ModelUpstream } from "./modelupstream.js";
import type { UnevenHallsOptions } from "./unevenhallsoptions.js";
import type { UnevenHallsTally } from "./unevenhallstally.js";
import { usualPolicy } from "./usualpolicy.js";

const HALLS = 4;
const HALLS_PER_REGION = 2;
const INGRESSES = 81;
/** The demand of a hall swings by this share, with this period. */
const SWING = 0.55;
const SWING_PERIOD_MS = 15_000;
const MS_PER_SECOND = 1000;
const SLOTS = 4;
/** Noise of the upstreams: some work takes five times as long. */
const SHAPE = { noise: { share: 0.03, slowdown: 5, intervalMs: 1000 }, cold: { durationMs: 0, slowdown: 1 } };

const regionOf = (hall: number): number => Math.floor(hall / HALLS_PER_REGION);

/** Runs one simulation. */
class UnevenHalls {
    readonly #loop = new EventLoop();
    readonly #targets: ModelTarget[];
    readonly #ingresses: ModelIngress[][];
    readonly #splits: SplitSampler;
    readonly #tally: { -readonly [Field in keyof UnevenHallsTally]: UnevenHallsTally[Field]; } = {
        requests: 0,
        served: 0,
        inTime: 0,
        placements: 0,
        crossings: 0,
        byHall: [],
        crossingsBySecond: [],
        byService: new Map(),
    };

    constructor(private readonly options: UnevenHallsOptions, private readonly random: RandomSource) {
        this.#splits = new SplitSampler(random);
        this.#targets = options.services.flatMap(({ name, upstreamsByHall }) =>
            upstreamsByHall.flatMap((count, hall) =>
                Array.from({ length: count }, (_, index) => this.#createTarget(name, hall, index))
            )
        );
        this.#tally.byHall = Array.from({ length: HALLS }, () => Array.from({ length: HALLS }, () => 0));
        this.#ingresses = Array.from({ length: HALLS }, (_, hall) => this.#createIngresses(hall));
    }

    run(): UnevenHallsTally {
        const { classes, lengthMs } = this.options;
        for (let hall = 0; hall < HALLS; hall++) {
            classes.forEach(kind => this.#scheduleArrivals(kind, hall));
        }
        this.#loop.runUntil(lengthMs + MS_PER_SECOND * 5);
        return this.#tally;
    }

    #createTarget(service: string, hall: number, index: number): ModelTarget {
        const shape = { name: service, upstreams: 1, slots: SLOTS, knee: 1, kneeSlowdown: 1 };
        const upstream = new ModelUpstream(shape, SHAPE, this.#loop, this.random);
        const gate = new ModelGate({
            upstream,
            serviceKneeShare: () => undefined,
            loop: this.#loop,
            random: this.random,
            policy: { ...usualPolicy, limit: "fixed" },
            coldLimits: undefined,
            sendCall: () => {},
        });
        const name = `${service}-${hall}-${index}`;
        return { name, service, hall, region: regionOf(hall), upstream, gate, isUp: true, isEvacuated: false };
    }

    #createIngresses(hall: number): ModelIngress[] {
        const { random } = this;
        const count = Math.floor((INGRESSES + HALLS - 1 - hall) / HALLS);
        const onPlaced = (target: ModelTarget): void => {
            this.#tally.placements += 1;
            const crossings = Number(target.region !== regionOf(hall));
            const second = Math.floor(this.#loop.now / MS_PER_SECOND);
            this.#tally.crossings += crossings;
            this.#tally.crossingsBySecond[second] = (this.#tally.crossingsBySecond[second] ?? 0) + crossings;
            this.#tally.byHall[hall]![target.hall]! += 1;
        };
        return Array.from(
            { length: count },
            () => new ModelIngress({ loop: this.#loop, random, hall, region: regionOf(hall), onPlaced }),
        );
    }

    #scheduleArrivals(kind: UnevenHallsOptions["classes"][number], hall: number): void {
        const { lengthMs } = this.options;
        const next = (): void => {
            const { now } = this.#loop;
            if (now >= lengthMs) {
                return;
            }
            const phase = 2 * Math.PI * (now / SWING_PERIOD_MS - hall / HALLS);
            const perMs = kind.perSecond / HALLS * (1 + SWING * Math.sin(phase)) / MS_PER_SECOND;
            this.#loop.schedule(-Math.log(1 - this.random()) / perMs, next);
            this.#send(kind, hall);
        };
        this.#loop.schedule(this.random() * MS_PER_SECOND * HALLS / kind.perSecond, next);
    }

    #send(kind: UnevenHallsOptions["classes"][number], hall: number): void {
        const ingresses = this.#ingresses[hall]!;
        const ingress = ingresses[Math.floor(this.random() * ingresses.length)]!;
        const firstAttemptAt = this.#loop.now;
        const deadline = firstAttemptAt + kind.timeLimitMs;
        const service = this.#serviceOf(kind);
        const { byService } = this.#tally;
        byService.set(service, (byService.get(service) ?? 0) + 1);
        this.#tally.requests += 1;
        const sent = { kind: { ...kind, service }, priority: kind.priority, firstAttemptAt, deadline, depth: 0 };
        ingress.serve(sent, this.#targets, ({ outcome }) => {
            const isServed = outcome === "served";
            this.#tally.served += Number(isServed);
            this.#tally.inTime += Number(isServed && this.#loop.now - firstAttemptAt <= kind.targetMs);
        });
    }

    /** Returns the service of the request; a class with `split` sends that share to the other service. */
    #serviceOf(
        { name, service, split }: ModelCall & { readonly split?: { service: string; share: number; }; },
    ): string {
        return split !== undefined && this.#splits.next(name as never) < split.share ? split.service : service;
    }
}

/** Runs the simulation and returns the results of its requests. */
export function runUnevenHalls(options: UnevenHallsOptions, random: RandomSource): UnevenHallsTally {
    return new UnevenHalls(options, random).run();
}
