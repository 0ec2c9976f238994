/** A document of a given size. */
import type { Document } from "../src/config/document.js";

const HALLS = 9;
const KEPT_CHANGES = 256;
const UPSTREAMS_PER_SERVICE = 6.67;

/** `upstreams` instances in services of about seven, two rules a service, nine halls. */
export function makeDocument(upstreams: number, revision = KEPT_CHANGES): Document {
    const services = Math.max(1, Math.round(upstreams / UPSTREAMS_PER_SERVICE));
    const serviceOf = (index: number): string => `service-${index % services}`;
    return {
        revision,
        changes: Array.from(
            { length: KEPT_CHANGES },
            (_, at) => ({ id: `3b241101-e2bb-4255-8caf-${at + 1e11}`, revision: at + 1 }),
        ),
        services: Array.from({ length: services }, (_, at) => ({
            name: serviceOf(at),
            bufferBytes: 1048576,
            maxWaitMs: 1000,
            retryRatio: 0.1,
        })),
        upstreams: Array.from({ length: upstreams }, (_, at) => ({
            name: `upstream-${at}`,
            service: serviceOf(at),
            host: `host-${at}.example`,
            address: `10.${at % HALLS}.${at >> 8}.${at & 255}:8080`,
            gate: `10.${at % HALLS}.${at >> 8}.${at & 255}:7100`,
            hall: `hall-${at % HALLS}`,
            region: `region-${at % 3}`,
            slots: 12,
            connections: 200,
            draining: false,
        })),
        rules: Array.from({ length: services * 2 }, (_, at) => ({
            name: `rule-${at}`,
            host: "",
            pathPrefix: `/service-${at >> 1}/${at & 1 ? "post" : "get"}`,
            methods: at & 1 ? ["POST"] : [],
            service: serviceOf(at >> 1),
            priority: "normal",
            tenant: "tenant",
            timeLimitMs: 5000,
            answer: "whole",
        })),
    } as unknown as Document;
}
