/** Runs a test body against daemons as on the users' platform. */
import { eventually } from "./eventually.js";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";

const allServe = async (mesh: PlatformMesh): Promise<void> => {
    for (const { name } of mesh.hosts) {
        await eventually(`${name} serves`, async () => {
            const told = await Promise.all([
                mesh.send(name, "GET", "/pages/1", "warm"),
                mesh.send(name, "POST", "/fees/1", "warm"),
            ]);
            return told.every(item => item.status === 200);
        });
    }
};

/** Waits until each daemon serves both services, runs the body, and stops every process whatever came of it. */
export async function withPlatform(body: (mesh: PlatformMesh) => Promise<void>): Promise<void> {
    await runWith(await PlatformMesh.start(), async mesh => {
        await allServe(mesh);
        await body(mesh);
    });
}
