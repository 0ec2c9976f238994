/** Describes the default mesh of the tests: small, but large enough for every fault that they inject. */
import type { MeshSpec } from "../demo/meshspec.js";

/**
 * Has two services with three instances each, in three halls. `pages` serves page loads, which may be repeated, and
 * `fees` serves payments, which may run only once.
 */
export const smallMesh: MeshSpec = {
    name: "small",
    region: "here",
    halls: ["a", "b", "c"],
    interHallDelayMs: 0.5,
    slots: 4,
    meanMs: 5,
    services: [{ name: "pages", instances: 3 }, { name: "fees", instances: 3 }],
    rules: [
        { name: "pages", pathPrefix: "/pages", service: "pages", tenant: "readers", timeLimitMs: 2000 },
        { name: "events", pathPrefix: "/events", service: "pages", answer: "streamed", timeLimitMs: 5000 },
        { name: "poll", pathPrefix: "/poll", service: "pages", answer: "streamed", timeLimitMs: 5000 },
        { name: "chain", pathPrefix: "/chain", service: "pages", timeLimitMs: 2000 },
        { name: "fees", pathPrefix: "/fees", service: "fees", priority: "urgent", kind: "once", timeLimitMs: 2000 },
    ],
    requests: [
        { name: "page", method: "GET", path: "/pages/1", share: 0.5, once: false },
        { name: "fee", method: "POST", path: "/fees/1", share: 0.5, once: true },
    ],
    profile: "responsive",
};
