/** Creates the views that an ingress has of upstreams, for benchmarks without a network. */
import type { HallName } from "../src/ids/hallname.js";
import { UpstreamStatements } from "../src/ingress/upstreamstatements.js";
import { UpstreamView } from "../src/ingress/upstreamview.js";
import { RemoteHop } from "../src/peer/remotehop.js";
import { RegionRoundTrips } from "../src/policy/placement/regionroundtrips.js";
import { makeDocument } from "./makedocument.js";

const idle = {
    sameRegion: true,
    regionRoundTrips: new RegionRoundTrips(),
    local: false,
    isEvacuated: () => false,
    statements: new UpstreamStatements(),
    onSent: () => {},
};

/** Returns `count` views, each with a load report; `hall` is the data hall of the ingress. */
export function makeViews(count: number, hall: HallName): UpstreamView[] {
    return makeDocument(count).upstreams.map(upstream => {
        const options = { localIp: "127.0.0.1", key: "k", clock: () => performance.now(), onUnresponsive: () => {} };
        const hop = new RemoteHop(upstream.gate, undefined as never, options);
        const view = new UpstreamView(upstream, { ...idle, hop, sameHall: upstream.hall === hall });
        view.recordReport({ running: 3, waiting: 0, limit: 12, serviceMs: 10, baseMs: 10 }, 0);
        return view;
    });
}
