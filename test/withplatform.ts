/** Runs a test body against daemons that run as on the users' platform. */
import { eventually } from "./eventually.js";
import { PlatformMesh } from "./platformmesh.js";
import type { PlatformMeshOptions } from "./platformmeshoptions.js";
import { runWith } from "./runwith.js";

/** More concurrent requests than one instance has slots, so that every known instance receives some. */
const CONCURRENT_REQUESTS = 8;

/** Sends concurrent requests to the daemon and returns how many instances served them, or 0 if any was not served. */
const countServingInstances = async (
    mesh: PlatformMesh,
    name: string,
    method: string,
    path: string,
): Promise<number> => {
    const responses = await Promise.all(
        Array.from({ length: CONCURRENT_REQUESTS }, () => mesh.send(name, method, path, "warm")),
    );
    return responses.every(response => response.status === 200)
        ? new Set(responses.map(response => response.headers["server-signature"])).size
        : 0;
};

/** Waits until each daemon uses all instances: just after its start a daemon may know only the local one. */
const waitUntilAllInstancesServe = async (mesh: PlatformMesh): Promise<void> => {
    const instanceCount = (service: string): number => mesh.hosts.filter(host => host.service === service).length;
    for (const { name } of mesh.hosts) {
        await eventually(`${name} uses all instances`, async () => {
            const pagesCount = await countServingInstances(mesh, name, "GET", "/pages/1");
            const feesCount = await countServingInstances(mesh, name, "POST", "/fees/1");
            return pagesCount === instanceCount("pages") && feesCount === instanceCount("fees");
        });
    }
};

/** Runs the body once each daemon uses all instances of both services; stops every process, also if the body fails. */
export async function withPlatform(
    body: (mesh: PlatformMesh) => Promise<void>,
    options: PlatformMeshOptions = {},
): Promise<void> {
    await runWith(await PlatformMesh.start(undefined, undefined, undefined, options), async mesh => {
        await waitUntilAllInstancesServe(mesh);
        await body(mesh);
    });
}
