/** Load with a fault in its midst, and what must hold whatever the fault. */
import assert from "node:assert/strict";
import { audit } from "../demo/audit.js";
import { runLoad } from "../demo/load.js";
import type { Mesh } from "../demo/mesh.js";
import type { Told } from "../demo/told.js";

/** Which daemons callers use; by default all. */
type LoadedOptions = {
    /** Hosts whose daemons the fault leaves ended. */
    readonly killed?: readonly string[];
    readonly seconds?: number;
    readonly rate?: number;
    readonly seed?: number;
    readonly ingresses?: () => readonly string[];
};

type Loaded = { readonly told: Told[]; readonly counts: ReturnType<typeof audit>; };

/** Runs the fault beside the load; asserts that nothing ran twice, no "not run" was false and no answer was wrong. */
export async function loaded(mesh: Mesh, fault: () => Promise<void>, options: LoadedOptions = {}): Promise<Loaded> {
    const { killed = [], seconds = 5, rate = 150, seed = 11, ingresses = () => mesh.hosts.map(host => host.ingress) } =
        options;
    const [told] = await Promise.all([
        runLoad(mesh.spec, { seed, seconds, ratePerSecond: rate, ingresses }),
        fault(),
    ]);
    const dead = [...mesh.daemons].filter(([, child]) => !child.running).map((
        [host, child],
    ) => [host, child.errors.join("\n")]);
    assert.deepEqual(dead.filter(([host]) => !killed.includes(host!)), [], "no daemon has ended by itself");
    const counts = audit(told, mesh.record);
    const { onceRunTwice, falseNotRun, wrongAnswer } = counts;
    assert.deepEqual({ onceRunTwice, falseNotRun, wrongAnswer }, { onceRunTwice: 0, falseNotRun: 0, wrongAnswer: 0 });
    assert.ok(counts.answered > counts.sent / 2, `most are answered: ${JSON.stringify(counts)}`);
    return { told, counts };
}
