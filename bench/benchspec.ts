/** The mesh that policies are measured on. */
import type { MeshSpec } from "../demo/meshspec.js";

/** Thirteen daemons; one service of four instances gets the load, from all of them. */
export const benchSpec: MeshSpec = {
    name: "bench",
    region: "here",
    halls: ["a", "b", "c"],
    betweenMs: 0.5,
    slots: 6,
    meanMs: 20,
    services: [{ name: "target", instances: 4 }, { name: "other", instances: 9 }],
    rules: [
        { name: "normal", pathPrefix: "/normal", service: "target", timeLimitMs: 5000 },
        { name: "urgent", pathPrefix: "/urgent", service: "target", priority: "urgent", timeLimitMs: 5000 },
        { name: "once", pathPrefix: "/once", service: "target", kind: "once", timeLimitMs: 5000 },
    ],
    requests: [],
    profile: "responsive",
};
