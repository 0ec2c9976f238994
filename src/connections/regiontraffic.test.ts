import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import type { RegionName } from "../ids/regionname.js";
import { Metrics } from "../metrics/metrics.js";
import { RegionTraffic } from "./regiontraffic.js";

const NEAR_IP = "127.0.0.1";
const FAR_IP = "127.0.0.2";

const trafficWith = (bytesPerSecond?: number): { traffic: RegionTraffic; metrics: Metrics; } => {
    const metrics = new Metrics();
    const traffic = new RegionTraffic({ region: "north" as RegionName, bytesPerSecond, clock: () => 0, metrics });
    traffic.setLocations([
        { gate: `${NEAR_IP}:1` as Address, region: "north" as RegionName },
        { gate: `${FAR_IP}:1` as Address, region: "south" as RegionName },
    ]);
    return { traffic, metrics };
};

/** Sends bytes over a watched connection whose peer counts as having the IP address; the peer sends 10 bytes back. */
const exchange = async (traffic: RegionTraffic, ip: string, bytes: number): Promise<Socket> => {
    const server = createServer(peer => peer.once("data", () => peer.end(Buffer.alloc(10)))).listen(0, NEAR_IP);
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, NEAR_IP);
    traffic.watch(socket, ip);
    socket.write(Buffer.alloc(bytes));
    await once(socket, "data");
    server.close();
    return socket;
};

test("region traffic: bytes and messages to other regions are counted, open and closed connections alike", async () => {
    const { traffic, metrics } = trafficWith();
    (await exchange(traffic, NEAR_IP, 1000)).destroy();
    assert.deepEqual(traffic.totals("sent"), { bytes: 0, messages: 0 });
    const socket = await exchange(traffic, FAR_IP, 700);
    assert.equal(traffic.totals("sent").bytes, 700, "while the connection is open");
    socket.destroy();
    await once(socket, "close");
    assert.deepEqual([traffic.totals("sent").bytes, traffic.totals("received").bytes], [700, 10]);
    traffic.countMessage("sent", FAR_IP, 100);
    traffic.countMessage("sent", NEAR_IP, 100);
    assert.deepEqual(traffic.totals("sent"), { bytes: 800, messages: 1 });
    assert.match(await metrics.registry.metrics(), /winglock_region_bytes_total\{direction="sent"\} 800/);
});

test("region traffic: requests may cross until the bound is reached, and without a bound always", async () => {
    const { traffic } = trafficWith(1000);
    assert.equal(traffic.allowsCrossing(500), true);
    (await exchange(traffic, NEAR_IP, 10_000)).destroy();
    assert.equal(traffic.allowsCrossing(500), true, "bytes within the region do not count");
    (await exchange(traffic, FAR_IP, 4800)).destroy();
    assert.equal(traffic.allowsCrossing(500), false);
    assert.equal(traffic.allowsCrossing(100), true);
    const unbounded = trafficWith().traffic;
    unbounded.countMessage("sent", FAR_IP, 1_000_000);
    assert.equal(unbounded.allowsCrossing(1_000_000), true);
});
