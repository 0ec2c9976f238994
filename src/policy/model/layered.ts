/**
 * Creates the layered scenario: three services, of which `pages` calls `engine` and `engine` calls `desk`.
 *
 * With 13 hosts and load 1, `pages` and `engine` are about half used at their usual pace. Slots, work, noise and a
 * knee at four fifths are those of a user's mesh on which winglock was measured under peak load and during restarts.
 */
import type { LayeredOptions } from "./layeredoptions.js";
import type { Scenario } from "./scenario.js";

/** With this many hosts the services have six, four and three upstreams; other numbers of hosts scale them. */
const REFERENCE_HOSTS = 13;
const UPSTREAM_SHAPE = { slots: 18, knee: 0.8, kneeSlowdown: 1.7 };

/** Returns the scenario; its request rates grow with the number of hosts. */
export function layered({ hosts, load, lengthMs, troubles, policy, coldLimits }: LayeredOptions): Scenario {
    const loadFactor = hosts / REFERENCE_HOSTS * load;
    return {
        lengthMs,
        services: [
            { name: "pages", upstreams: Math.max(1, Math.round(hosts * 6 / REFERENCE_HOSTS)), ...UPSTREAM_SHAPE },
            { name: "engine", upstreams: Math.max(1, Math.round(hosts * 4 / REFERENCE_HOSTS)), ...UPSTREAM_SHAPE },
            { name: "desk", upstreams: Math.max(1, Math.round(hosts * 3 / REFERENCE_HOSTS)), ...UPSTREAM_SHAPE },
        ],
        classes: [
            {
                name: "view",
                service: "pages",
                priority: "background",
                perSecond: 145 * loadFactor,
                workMs: 220,
                targetMs: 600,
                timeLimitMs: 1200,
                callerTimeoutMs: 2500,
                worth: 1,
                calls: { name: "fetch", share: 0.7 },
            },
            {
                name: "work",
                service: "engine",
                priority: "normal",
                perSecond: 50 * loadFactor,
                workMs: 290,
                targetMs: 800,
                timeLimitMs: 1500,
                callerTimeoutMs: 3000,
                worth: 2,
                calls: { name: "probe", share: 0.7 },
            },
            {
                name: "order",
                service: "desk",
                priority: "urgent",
                perSecond: 34 * loadFactor,
                workMs: 150,
                targetMs: 400,
                timeLimitMs: 1000,
                callerTimeoutMs: 2000,
                worth: 3,
            },
        ],
        calls: [
            { name: "fetch", service: "engine", priority: "urgent", workMs: 55, targetMs: 150, timeLimitMs: 600 },
            { name: "probe", service: "desk", priority: "urgent", workMs: 55, targetMs: 150, timeLimitMs: 600 },
        ],
        noise: { share: 0.25, slowdown: 5, intervalMs: 150 },
        cold: { durationMs: 3000, slowdown: 2, ...coldLimits !== undefined && { limits: coldLimits } },
        troubles,
        policy,
    };
}
