/** Creates a configuration document of a given size. */
import type { Document } from "../src/config/document.js";

const HALLS = 9;
const KEPT_CHANGES = 256;
const UPSTREAMS_PER_SERVICE = 6.67;

/**
 * Returns a document with `upstreams` upstreams in services of about seven, two rules a service and nine data halls.
 */
export function makeDocument(upstreams: number, revision = KEPT_CHANGES): Document {
    const services = Math.max(1, Math.round(upstreams / UPSTREAMS_PER_SERVICE));
    const serviceOf = (index: number): string => `service-${index % services}`;
    return {
        revision,
        changes: Array.from(
            { length: KEPT_CHANGES },
            (_, index) => ({ id: `3b241101-e2bb-4255-8caf-${index + 1e11}`, revision: index + 1 }),
        ),
        services: Array.from({ length: services }, (_, index) => ({
            name: serviceOf(index),
            bufferBytes: 1048576,
            maxWaitMs: 1000,
            retryRatio: 0.1,
        })),
        upstreams: Array.from({ length: upstreams }, (_, index) => ({
            name: `upstream-${index}`,
            service: serviceOf(index),
            host: `host-${index}.example`,
            address: `10.${index % HALLS}.${index >> 8}.${index & 255}:8080`,
            gate: `10.${index % HALLS}.${index >> 8}.${index & 255}:7100`,
            hall: `hall-${index % HALLS}`,
            region: `region-${index % 3}`,
            slots: 12,
            connections: 200,
            draining: false,
        })),
        rules: Array.from({ length: services * 2 }, (_, index) => ({
            name: `rule-${index}`,
            host: "",
            pathPrefix: `/service-${index >> 1}/${index & 1 ? "post" : "get"}`,
            methods: index & 1 ? ["POST"] : [],
            service: serviceOf(index >> 1),
            priority: "normal",
            tenant: "tenant",
            timeLimitMs: 5000,
            answer: "whole",
        })),
    } as unknown as Document;
}
