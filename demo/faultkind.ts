/** Kind of fault that a soak injects into a mesh. */
import type { Mesh } from "./mesh.js";

/** Injects faults of one kind. `name` is the key of their count in the output of the soak. */
export abstract class FaultKind {
    abstract readonly name: string;
    /** Injects the fault, waits, and lifts it. `random` returns numbers from 0 up to 1. */
    abstract inject(mesh: Mesh, random: () => number): Promise<void>;
}
