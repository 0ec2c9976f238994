/** Open-loop load: sends each request when it is due, whether or not earlier requests have finished. */
import { setTimeout as wait } from "node:timers/promises";
import { seededRandom } from "../standin/seededrandom.js";
import { Caller } from "./caller.js";
import type { MeshSpec } from "./meshspec.js";
import type { RequestResult } from "./requestresult.js";

/** `ratePerSecond` is an average, with exponential gaps. The list that `ingresses` returns may change during the load. */
type LoadOptions = {
    readonly seed: number;
    readonly seconds: number;
    readonly ratePerSecond: number;
    readonly ingresses: () => readonly string[];
    readonly onProgress?: (results: readonly RequestResult[]) => void;
};

const PROGRESS_INTERVAL_MS = 1000;

/** Picks a kind of request by its share. `position` is from 0 up to 1. */
const pickRequest = (spec: MeshSpec, position: number): MeshSpec["requests"][number] => {
    let remaining = position;
    for (const request of spec.requests) {
        remaining -= request.share;
        if (remaining < 0) {
            return request;
        }
    }
    return spec.requests[0]!;
};

/** Resolves with the results of all requests once the last one has finished. */
export async function runLoad(spec: MeshSpec, options: LoadOptions): Promise<RequestResult[]> {
    const random = seededRandom(options.seed);
    const caller = new Caller(random);
    const results: RequestResult[] = [];
    const pending: Promise<unknown>[] = [];
    const startAt = performance.now();
    const endAt = startAt + options.seconds * 1000;
    const progressTimer = setInterval(() => options.onProgress?.(results), PROGRESS_INTERVAL_MS);
    let dueAt = startAt;
    let sent = 0;
    while (dueAt < endAt) {
        const untilDueMs = dueAt - performance.now();
        if (untilDueMs > 0) {
            await wait(untilDueMs);
        }
        const { name: kind, method, path, once } = pickRequest(spec, random());
        const req = { id: `${options.seed}-${sent++}`, kind, method, path, once };
        pending.push(caller.send(req, options.ingresses(), dueAt).then(result => results.push(result)));
        dueAt += -Math.log(1 - random()) * 1000 / options.ratePerSecond;
    }
    await Promise.all(pending);
    clearInterval(progressTimer);
    caller.close();
    return results;
}
