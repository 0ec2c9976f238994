/** The smallest mesh that has both paths. */
import type { MeshSpec } from "../demo/meshspec.js";

/** One hall, a target and a neighbour; the neighbour's daemon takes what goes two hops. */
export const pathMesh: MeshSpec = {
    name: "path",
    region: "here",
    halls: ["a"],
    betweenMs: 0,
    slots: 100,
    meanMs: 1,
    services: [{ name: "target", instances: 1 }, { name: "neighbour", instances: 1 }],
    rules: [{ name: "target", pathPrefix: "/target", service: "target" }],
    requests: [{ name: "get", method: "GET", path: "/target", share: 1, once: false }],
    profile: "responsive",
};
