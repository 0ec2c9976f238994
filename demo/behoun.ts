/** Mesh of a race results service, at its present size. */
import type { MeshSpec } from "./meshspec.js";

/** Has 13 instances of 12 slots each in three data halls in Prague. */
export const behoun: MeshSpec = {
    name: "behoun",
    region: "prague",
    halls: ["a", "b", "c"],
    interHallDelayMs: 1,
    slots: 12,
    meanMs: 10,
    services: [
        { name: "splits", instances: 4 },
        { name: "results", instances: 3 },
        { name: "entries", instances: 3 },
        { name: "standings", instances: 3 },
    ],
    rules: [
        { name: "splits", pathPrefix: "/splits", service: "splits", tenant: "runners", timeLimitMs: 3000 },
        {
            name: "post-result",
            pathPrefix: "/results",
            methods: ["POST"],
            service: "results",
            tenant: "directors",
            priority: "urgent",
            kind: "once",
            timeLimitMs: 5000,
        },
        {
            name: "pay-fee",
            pathPrefix: "/fees",
            methods: ["POST"],
            service: "entries",
            tenant: "runners",
            priority: "urgent",
            kind: "once",
            timeLimitMs: 5000,
        },
        {
            name: "tables",
            pathPrefix: "/tables",
            service: "standings",
            tenant: "clubs",
            priority: "background",
            timeLimitMs: 3000,
        },
    ],
    requests: [
        { name: "reload splits", method: "GET", path: "/splits/1", share: 0.5, once: false },
        { name: "post result", method: "POST", path: "/results/7", share: 0.15, once: true },
        { name: "pay fee", method: "POST", path: "/fees", share: 0.15, once: true },
        { name: "open table", method: "GET", path: "/tables/3", share: 0.2, once: false },
    ],
    profile: "frugal",
};
