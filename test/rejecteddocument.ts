/** Writes a document that the daemons reject. */
import { eventually } from "./eventually.js";
import type { PlatformMesh } from "./platformmesh.js";

/**
 * Resolves when a daemon has logged the rejection of the document that `write` stores. Versions in quick succession are
 * not all decoded, so each has to be rejected before the next one is written.
 */
export async function rejectedDocument(mesh: PlatformMesh, write: () => Promise<void>): Promise<void> {
    const rejectionCount = (): number =>
        mesh.log.filter(line => line.includes("The stored configuration is invalid")).length;
    const countBefore = rejectionCount();
    await write();
    await eventually("the document is rejected", async () => rejectionCount() > countBefore, 2500);
}
