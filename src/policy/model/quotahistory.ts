/**
 * Runs a history of faults and load in a mesh of quota agents, and compares the requests that got tokens with the bound.
 */
import type { TeamName } from "../../ids/teamname.js";
import type { QuotaBound } from "../quota/quotabound.js";
import type { TeamLimit } from "../quota/teamlimit.js";
import { QuotaMesh } from "./quotamesh.js";
import { seededRandom } from "./seededrandom.js";

const WINDOW_MS = 5000;
const WINDOW_S = WINDOW_MS / 1000;
/** Unit of the lengths in a history. */
const STEP_MS = 500;
/** Time until all daemons have leased their shares and the buckets are full, in steps. */
const START_STEPS = 12;
/** Load after the last event, in steps, so that its effect shows. */
const END_STEPS = 8;
const HEAVY_PER_SECOND = 20;
const MAX_WAIT_MS = 150;
const DUPLICATE_RATIO = 0.05;
const OVERAGE = 0.1;
const TEAM = "t" as TeamName;

/** A step of a history; sets of daemons are bit masks. */
type QuotaEvent =
    | { readonly type: "wait"; readonly steps: number; }
    | { readonly type: "load"; readonly daemons: number; readonly perSecond: number; }
    | { readonly type: "cut"; readonly daemons: number; readonly forgets: boolean; }
    | { readonly type: "heal" | "crash-all"; }
    | { readonly type: "crash" | "restart"; readonly daemon: number; }
    | { readonly type: "pause"; readonly daemon: number; readonly ms: number; }
    | { readonly type: "limit"; readonly limit: TeamLimit; };

/** `speeds`: of the daemons' clocks, one for each. */
type History = {
    readonly seed: number;
    readonly limit: TeamLimit;
    readonly slack: number;
    readonly speeds: readonly number[];
    readonly delayMs: number;
    readonly lossRatio: number;
    readonly events: readonly QuotaEvent[];
};

/** `excess` is the number of requests beyond the bound in the worst window; negative if the bound is kept. */
export class QuotaHistory {
    readonly #mesh: QuotaMesh;
    readonly #random: () => number;
    readonly #usedAt: number[] = [];
    readonly #bound: QuotaBound;
    readonly #limits: { readonly at: number; readonly limit: TeamLimit; }[];
    /** The daemons that receive requests; at first all. */
    #loaded = -1;
    #perSecond = HEAVY_PER_SECOND;

    constructor(history: History) {
        this.#random = seededRandom(history.seed);
        const random = this.#random;
        this.#limits = [{ at: 0, limit: history.limit }];
        this.#bound = { windowS: WINDOW_S, overage: OVERAGE, slack: history.slack };
        this.#mesh = new QuotaMesh({
            speeds: history.speeds,
            bound: this.#bound,
            limits: new Map([[TEAM, history.limit]]),
            random,
            delayMs: () => random() * history.delayMs,
            lossRatio: history.lossRatio,
            duplicateRatio: DUPLICATE_RATIO,
        });
        this.#run(START_STEPS);
        history.events.forEach(event => this.#apply(event));
        this.#run(END_STEPS);
    }

    #run(steps: number): void {
        const mesh = this.#mesh;
        const until = mesh.now + steps * STEP_MS;
        for (let at = mesh.now; at < until; at += 1000 / this.#perSecond) {
            for (let index = 0; index < mesh.daemons.length; index++) {
                if ((this.#loaded >> index & 1) === 1) {
                    mesh.schedule(at + this.#random() * (1000 / this.#perSecond), () => this.#request(index));
                }
            }
        }
        mesh.run(until);
    }

    #request(index: number): void {
        this.#mesh.request(index, TEAM, MAX_WAIT_MS, result => {
            if (result.type === "token") {
                this.#usedAt.push(this.#mesh.now);
            }
        });
    }

    #apply(event: QuotaEvent): void {
        const mesh = this.#mesh;
        switch (event.type) {
            case "wait":
                return this.#run(event.steps);
            case "load":
                this.#loaded = event.daemons;
                this.#perSecond = event.perSecond;
                return;
            case "cut":
                return this.#cut(event.daemons, event.forgets);
            case "heal":
                mesh.connects = () => true;
                return mesh.daemons.forEach((_, index) => this.#setMembers(index, () => true));
            case "crash-all":
                return mesh.daemons.forEach((_, index) => {
                    mesh.kill(index);
                    mesh.start(index);
                });
            case "crash":
                return mesh.kill(event.daemon);
            case "restart":
                mesh.kill(event.daemon);
                return mesh.start(event.daemon);
            case "pause":
                return mesh.pause(event.daemon, event.ms);
            case "limit":
                this.#limits.push({ at: mesh.now, limit: event.limit });
                mesh.applyLimits(new Map([[TEAM, event.limit]]));
        }
    }

    #cut(daemons: number, forgets: boolean): void {
        const side = (index: number): number => daemons >> index & 1;
        this.#mesh.connects = (from, to) => side(from) === side(to);
        if (forgets) {
            this.#mesh.daemons.forEach((_, index) => this.#setMembers(index, other => side(index) === side(other)));
        }
    }

    #setMembers(index: number, isMember: (other: number) => boolean): void {
        const members = this.#mesh.daemons.filter((_, other) => isMember(other)).map(({ address }) => address);
        this.#mesh.setMembers(index, members);
    }

    /** The largest limit that was in force in the window or in the one before it, since a lowered limit has that time. */
    #allowed(from: number): number {
        const inForce = this.#limits.filter(({ at }, index) =>
            at <= from + WINDOW_MS && (this.#limits[index + 1]?.at ?? Infinity) > from - WINDOW_MS
        );
        const { overage, slack } = this.#bound;
        const allowed = inForce.map(({ limit }) =>
            (limit.ratePerSecond * WINDOW_S + limit.burst) * (1 + overage) + slack
        );
        return Math.max(...allowed);
    }

    get excess(): number {
        const used = this.#usedAt;
        let worst = -Infinity;
        for (let first = 0, last = 0; first < used.length; first++) {
            while (last < used.length && used[last]! < used[first]! + WINDOW_MS) {
                last += 1;
            }
            worst = Math.max(worst, last - first - this.#allowed(used[first]!));
        }
        return worst;
    }
}
