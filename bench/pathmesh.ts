/** Defines the smallest mesh with paths of one hop and of two hops. */
import type { MeshSpec } from "../demo/meshspec.js";

/** One data hall with a target and a neighbour; requests over two hops enter at the neighbour's daemon. */
export const pathMesh: MeshSpec = {
    name: "path",
    region: "here",
    halls: ["a"],
    interHallDelayMs: 0,
    slots: 100,
    meanMs: 1,
    services: [{ name: "target", instances: 1 }, { name: "neighbour", instances: 1 }],
    rules: [{ name: "target", pathPrefix: "/target", service: "target" }],
    requests: [{ name: "get", method: "GET", path: "/target", share: 1, once: false }],
    profile: "responsive",
};
