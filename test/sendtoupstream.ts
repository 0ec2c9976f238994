/** Sends a request to an upstream, for tests. */
import type { UpstreamClient } from "../src/gate/upstreamclient.js";
import type { GateCall } from "../src/hop/gatecall.js";

/** Sends a request with the id that nothing cancels; resolves and rejects as `UpstreamClient.send` does. */
export function sendToUpstream(
    client: UpstreamClient,
    id: string,
    { method = "GET", body }: Partial<Pick<GateCall, "method" | "body">> = {},
): ReturnType<UpstreamClient["send"]> {
    const call = { method, path: "/fees", body } as GateCall;
    return client.send(call, { "winglock-request-id": id }, {
        cancel: undefined,
        onConnected: () => {},
        checkWrite: () => undefined,
        deadline: Infinity,
    });
}
