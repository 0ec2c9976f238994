/** Sends a steady load to the daemons of a platform mesh. */
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";

const MS_PER_SECOND = 1000;

/** The rate is that of all hosts together; by default all hosts of the mesh send. */
type PlatformLoadOptions = {
    readonly hostNames?: readonly string[];
    readonly method?: string;
    readonly path?: string;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
};

/** Numbers of requests, and the status of each; a request is served if its response has status 200. */
type PlatformLoadResult = {
    readonly sent: number;
    readonly served: number;
    readonly responses: readonly { readonly id: string; readonly status: number; }[];
};

/** Sends requests from the hosts in turn, with the ids `load-HOST-NUMBER`; resolves when all have ended. */
export async function runPlatformLoad(
    mesh: PlatformMesh,
    {
        hostNames = mesh.hosts.map(({ name }) => name),
        method = "GET",
        path = "/pages/1",
        requestsPerSecond,
        durationMs,
    }: PlatformLoadOptions,
): Promise<PlatformLoadResult> {
    const pending = [];
    const startedAt = performance.now();
    for (let index = 0; performance.now() - startedAt < durationMs; index++) {
        const name = hostNames[index % hostNames.length]!;
        const id = `load-${name}-${index}`;
        pending.push(mesh.send(name, method, path, id).then(({ status }) => ({ id, status })));
        await pause(Math.max(0, startedAt + index * MS_PER_SECOND / requestsPerSecond - performance.now()));
    }
    const responses = await Promise.all(pending);
    const served = responses.filter(({ status }) => status === 200).length;
    return { sent: responses.length, served, responses };
}
