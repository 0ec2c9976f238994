/** Where which revision is in force. */
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";

const LINE = /^winglock_revision (\d+)$/m;

/** The revision at each daemon, by host; a daemon that does not answer is left out. */
export async function revisions(mesh: Mesh): Promise<Map<string, number>> {
    const found = new Map<string, number>();
    for (const host of mesh.hosts) {
        try {
            const { body } = await request(`http://${host.operator}/metrics`);
            found.set(host.name, Number(LINE.exec(await body.text())?.[1] ?? 0));
        }
        catch {
            // Stopped or cut off.
        }
    }
    return found;
}
