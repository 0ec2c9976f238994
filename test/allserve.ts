/** Whether a path is served at all daemons. */
import type { PlatformMesh } from "./platformmesh.js";

/** Sends one request to each daemon, or to those named. */
export async function allServe(
    mesh: PlatformMesh,
    path: string,
    names = mesh.hosts.map(host => host.name),
): Promise<boolean> {
    const told = await Promise.all(names.map(name => mesh.send(name, "GET", path, `${name}${path}`)));
    return told.every(item => item.status === 200);
}
