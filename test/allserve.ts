/** Tests whether all daemons serve a path. */
import type { PlatformMesh } from "./platformmesh.js";

/** Sends one request to each daemon, or to those of the named hosts; returns whether each was answered with 200. */
export async function allServe(
    mesh: PlatformMesh,
    path: string,
    names = mesh.hosts.map(host => host.name),
): Promise<boolean> {
    const responses = await Promise.all(names.map(name => mesh.send(name, "GET", path, `${name}${path}`)));
    return responses.every(response => response.status === 200);
}
