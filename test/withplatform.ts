/** Runs a test body against daemons as on the users' platform. */
import { eventually } from "./eventually.js";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";

/** More at once than one instance has slots, so that all that are known get some. */
const AT_ONCE = 8;

/** How many instances answered requests sent to the daemon at once; 0 when one was not served. */
const countAnswering = async (mesh: PlatformMesh, name: string, method: string, path: string): Promise<number> => {
    const told = await Promise.all(Array.from({ length: AT_ONCE }, () => mesh.send(name, method, path, "warm")));
    return told.every(item => item.status === 200)
        ? new Set(told.map(item => item.headers["server-signature"])).size
        : 0;
};

/** A daemon that has just started may serve by the instance beside it before it knows the others. */
const allKnowAll = async (mesh: PlatformMesh): Promise<void> => {
    const instances = (service: string): number => mesh.hosts.filter(host => host.service === service).length;
    for (const { name } of mesh.hosts) {
        await eventually(`${name} knows all instances`, async () => {
            const pages = await countAnswering(mesh, name, "GET", "/pages/1");
            const fees = await countAnswering(mesh, name, "POST", "/fees/1");
            return pages === instances("pages") && fees === instances("fees");
        });
    }
};

/** Waits until each daemon is served by all instances of both services, runs the body, and stops every process whatever came of it. */
export async function withPlatform(body: (mesh: PlatformMesh) => Promise<void>): Promise<void> {
    await runWith(await PlatformMesh.start(), async mesh => {
        await allKnowAll(mesh);
        await body(mesh);
    });
}
