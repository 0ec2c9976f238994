/** Sends a steady load to the daemons of a platform mesh. */
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";

const MS_PER_SECOND = 1000;

/** The rate is that of all hosts together; by default all hosts of the mesh send. */
type PlatformLoadOptions = {
    readonly hostNames?: readonly string[];
    readonly path?: string;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
};

/** Numbers of requests; a request is served if its response has status 200. */
type PlatformLoadCounts = { readonly sent: number; readonly served: number; };

/** Sends GET requests from the hosts in turn, with the ids `load-HOST-NUMBER`; resolves when all have ended. */
export async function runPlatformLoad(
    mesh: PlatformMesh,
    { hostNames = mesh.hosts.map(({ name }) => name), path = "/pages/1", requestsPerSecond, durationMs }:
        PlatformLoadOptions,
): Promise<PlatformLoadCounts> {
    const outcomes: Promise<boolean>[] = [];
    const startedAt = performance.now();
    for (let index = 0; performance.now() - startedAt < durationMs; index++) {
        const name = hostNames[index % hostNames.length]!;
        outcomes.push(mesh.send(name, "GET", path, `load-${name}-${index}`).then(({ status }) => status === 200));
        await pause(Math.max(0, startedAt + index * MS_PER_SECOND / requestsPerSecond - performance.now()));
    }
    const served = (await Promise.all(outcomes)).filter(Boolean).length;
    return { sent: outcomes.length, served };
}
