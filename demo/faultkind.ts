/** What a soak does to a mesh. */
import type { Mesh } from "./mesh.js";

/** One kind of fault, with its own way back. `random` is from 0 up to 1. */
export abstract class FaultKind {
    abstract readonly name: string;
    /** Does the fault, lasts a while, and undoes it. */
    abstract happen(mesh: Mesh, random: () => number): Promise<void>;
}
