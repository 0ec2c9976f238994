/** Creates a client of a raw upstream, for tests. */
import type { Upstream } from "../src/config/upstream.js";
import { OwnDialect } from "../src/dialect/owndialect.js";
import { UpstreamClient } from "../src/gate/upstreamclient.js";
import type { HttpHeaders } from "../src/http/httpheaders.js";

/** `onResponse` is called with the headers of each response that the client takes for the upstream's own. */
export function createUpstreamClient(
    address: string,
    onResponse: (headers: HttpHeaders) => void = () => {},
): UpstreamClient {
    const upstream = { name: "fees-1", service: "fees", address } as unknown as Upstream;
    return new UpstreamClient(upstream, {
        localIp: "127.0.0.1",
        dialect: new OwnDialect(),
        onResponse,
        clock: () => performance.now(),
        onUnresponsive: () => {},
    });
}
