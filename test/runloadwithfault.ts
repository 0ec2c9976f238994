/** Runs load while a test injects a fault, and asserts what must hold whatever the fault is. */
import assert from "node:assert/strict";
import { audit } from "../demo/audit.js";
import type { Mesh } from "../demo/mesh.js";
import type { RequestResult } from "../demo/requestresult.js";
import { runLoad } from "../demo/runload.js";

type LoadedOptions = {
    /** Hosts whose daemons the fault ends and does not start again. */
    readonly killed?: readonly string[];
    readonly seconds?: number;
    /** Average number of requests per second. */
    readonly rate?: number;
    readonly seed?: number;
    /** Returns the addresses that callers use; by default the ingresses of all daemons. */
    readonly ingresses?: () => readonly string[];
};

type Loaded = { readonly results: RequestResult[]; readonly counts: ReturnType<typeof audit>; };

/**
 * Injects the fault while the load runs. Asserts that no daemon has ended other than those in `killed`, no once-only
 * request ran twice, no request that was reported as not run did run, no response was wrong, and most requests were
 * answered.
 */
export async function runLoadWithFault(
    mesh: Mesh,
    fault: () => Promise<void>,
    options: LoadedOptions = {},
): Promise<Loaded> {
    const { killed = [], seconds = 5, rate = 150, seed = 11, ingresses = () => mesh.hosts.map(host => host.ingress) } =
        options;
    const [results] = await Promise.all([
        runLoad(mesh.spec, { seed, seconds, ratePerSecond: rate, ingresses }),
        fault(),
    ]);
    const ended = [...mesh.daemons].filter(([, child]) => !child.running).map((
        [host, child],
    ) => [host, child.errors.join("\n")]);
    assert.deepEqual(ended.filter(([host]) => !killed.includes(host!)), [], "no daemon has ended unexpectedly");
    const counts = audit(results, mesh.record);
    const { onceRunTwice, falseNotRun, wrongAnswer } = counts;
    assert.deepEqual({ onceRunTwice, falseNotRun, wrongAnswer }, { onceRunTwice: 0, falseNotRun: 0, wrongAnswer: 0 });
    assert.ok(counts.answered > counts.sent / 2, `most requests are answered: ${JSON.stringify(counts)}`);
    return { results, counts };
}
