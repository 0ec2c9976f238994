/** A steady load at the daemons of a platform mesh. */
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";

const SECOND_MS = 1000;

/** Who sends, which requests, how many a second of all together, and for how long. */
type PlatformLoad = {
    readonly hosts?: readonly string[];
    readonly path?: string;
    readonly perSecond: number;
    readonly forMs: number;
};

/** Counts of requests. */
type PlatformLoadEnd = { readonly sent: number; readonly served: number; };

/** Sends by turns at each of the hosts, all of the mesh by default; ids are `load-HOST-NUMBER`. */
export async function platformLoad(
    mesh: PlatformMesh,
    { hosts = mesh.hosts.map(({ name }) => name), path = "/pages/1", perSecond, forMs }: PlatformLoad,
): Promise<PlatformLoadEnd> {
    const told: Promise<boolean>[] = [];
    const startedAt = performance.now();
    for (let at = 0; performance.now() - startedAt < forMs; at++) {
        const name = hosts[at % hosts.length]!;
        told.push(mesh.send(name, "GET", path, `load-${name}-${at}`).then(({ status }) => status === 200));
        await pause(Math.max(0, startedAt + at * SECOND_MS / perSecond - performance.now()));
    }
    const served = (await Promise.all(told)).filter(Boolean).length;
    return { sent: told.length, served };
}
