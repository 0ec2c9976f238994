/** Mesh of a school admissions service, at its present size. */
import type { MeshSpec } from "./meshspec.js";

/** Has 13 instances of 6 slots each in three data halls in Sapporo. */
export const admissions: MeshSpec = {
    name: "admissions",
    region: "sapporo",
    halls: ["a", "b", "c"],
    interHallDelayMs: 0.5,
    slots: 6,
    meanMs: 10,
    services: [
        { name: "catalog", instances: 4 },
        { name: "intake", instances: 3 },
        { name: "offers", instances: 3 },
        { name: "casework", instances: 3 },
    ],
    rules: [
        { name: "browse", pathPrefix: "/schools", service: "catalog", tenant: "families", timeLimitMs: 3000 },
        {
            name: "apply",
            pathPrefix: "/applications",
            methods: ["POST"],
            service: "intake",
            tenant: "families",
            kind: "once",
            timeLimitMs: 5000,
        },
        {
            name: "accept",
            pathPrefix: "/offers",
            methods: ["POST"],
            service: "offers",
            tenant: "families",
            priority: "urgent",
            kind: "once",
            timeLimitMs: 5000,
        },
        {
            name: "check-status",
            pathPrefix: "/status",
            service: "casework",
            tenant: "counsellors",
            priority: "urgent",
            timeLimitMs: 3000,
        },
    ],
    requests: [
        { name: "browse schools", method: "GET", path: "/schools/12", share: 0.5, once: false },
        { name: "apply", method: "POST", path: "/applications", share: 0.15, once: true },
        { name: "accept offer", method: "POST", path: "/offers/4", share: 0.15, once: true },
        { name: "check status", method: "GET", path: "/status/9", share: 0.2, once: false },
    ],
    profile: "responsive",
};
