/** Reads which revision of the configuration is in force at each daemon. */
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";

const REVISION_LINE = /^winglock_revision (\d+)$/m;

/** Returns the revision of each daemon by the name of its host. A daemon that does not respond is left out. */
export async function readRevisions(mesh: Mesh): Promise<Map<string, number>> {
    const revisionByHost = new Map<string, number>();
    for (const host of mesh.hosts) {
        try {
            const { body } = await request(`http://${host.operator}/metrics`);
            revisionByHost.set(host.name, Number(REVISION_LINE.exec(await body.text())?.[1] ?? 0));
        }
        catch {
            // The daemon is stopped or unreachable.
        }
    }
    return revisionByHost;
}
