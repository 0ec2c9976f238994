/** Open-loop load: requests are sent when they are due, whatever has become of those before. */
import { setTimeout as wait } from "node:timers/promises";
import { seededRandom } from "../standin/seededrandom.js";
import { Caller } from "./caller.js";
import type { MeshSpec } from "./meshspec.js";
import type { Told } from "./told.js";

/** `ratePerSecond` arrivals on average, exponential gaps; `ingresses` may change while the load runs. */
type LoadOptions = {
    readonly seed: number;
    readonly seconds: number;
    readonly ratePerSecond: number;
    readonly ingresses: () => readonly string[];
    readonly onProgress?: (told: readonly Told[]) => void;
};

const PROGRESS_MS = 1000;

const pick = (spec: MeshSpec, at: number): MeshSpec["requests"][number] => {
    let left = at;
    for (const request of spec.requests) {
        left -= request.share;
        if (left < 0) {
            return request;
        }
    }
    return spec.requests[0]!;
};

/** Resolves with what every caller was told. */
export async function runLoad(spec: MeshSpec, options: LoadOptions): Promise<Told[]> {
    const random = seededRandom(options.seed);
    const caller = new Caller(random);
    const told: Told[] = [];
    const pending: Promise<unknown>[] = [];
    const startAt = performance.now();
    const endAt = startAt + options.seconds * 1000;
    const progress = setInterval(() => options.onProgress?.(told), PROGRESS_MS);
    let dueAt = startAt;
    let sent = 0;
    while (dueAt < endAt) {
        const ahead = dueAt - performance.now();
        if (ahead > 0) {
            await wait(ahead);
        }
        const { name: kind, method, path, once } = pick(spec, random());
        const req = { id: `${options.seed}-${sent++}`, kind, method, path, once };
        pending.push(caller.send(req, options.ingresses(), dueAt).then(result => told.push(result)));
        dueAt += -Math.log(1 - random()) * 1000 / options.ratePerSecond;
    }
    await Promise.all(pending);
    clearInterval(progress);
    caller.close();
    return told;
}
