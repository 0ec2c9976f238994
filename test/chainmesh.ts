/** Describes a mesh of six services that can call each other in a chain. */
import type { MeshSpec } from "../demo/meshspec.js";

const DEPTH = 6;
const names = Array.from({ length: DEPTH }, (_, index) => `level${index + 1}`);

/** Has one service for each level of the chain, with two instances each. */
export const chainMesh: MeshSpec = {
    name: "chain",
    region: "here",
    halls: ["a", "b"],
    interHallDelayMs: 0.5,
    slots: 8,
    meanMs: 2,
    services: names.map(name => ({ name, instances: 2 })),
    rules: names.map(name => ({ name, pathPrefix: `/chain/${name}`, service: name, timeLimitMs: 3000 })),
    requests: [{ name: "chain", method: "GET", path: "/chain/level1", share: 1, once: false }],
    profile: "responsive",
};
