/** Runs a test body against a mesh of real processes. */
import { Mesh } from "../demo/mesh.js";
import { runWith } from "./runwith.js";
import { smallMesh } from "./smallmesh.js";

/** Starts a mesh, by default the small one, runs the body, and stops every process, also if the body fails. */
export async function withMesh(
    body: (mesh: Mesh) => Promise<void>,
    options: Parameters<typeof Mesh.start>[1] = {},
    spec = smallMesh,
): Promise<void> {
    await runWith(await Mesh.start(spec, options), body);
}
