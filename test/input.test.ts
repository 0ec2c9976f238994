import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { test } from "node:test";
import { request } from "undici";
import { Child } from "../demo/child.js";
import type { Mesh } from "../demo/mesh.js";
import { FrameReader } from "../src/link/framereader.js";
import { frameType } from "../src/link/frametype.js";
import { unpackResponse } from "../src/link/unpackresponse.js";
import type { WireResponse } from "../src/link/wireresponse.js";
import { writeFrame } from "../src/link/writeframe.js";
import { requestMetadataCodec } from "../src/wire/requestmetadatacodec.js";
import { seededRandom } from "../standin/seededrandom.js";
import { pause } from "./pause.js";
import { withMesh } from "./withmesh.js";

const ROUNDS = 40;
const MAX_BYTES = 600;
const PEER_KEY = "demo-key-of-no-secrecy";

const randomBytes = (random: () => number): Buffer =>
    Buffer.from(Array.from({ length: 1 + Math.floor(random() * MAX_BYTES) }, () => Math.floor(random() * 256)));

const toPortAndIp = (address: string): [number, string] => {
    const [ip, port] = address.split(":") as [string, string];
    return [Number(port), ip];
};

const sendTcp = async (address: string, bytes: Buffer): Promise<void> => {
    const socket = connect(...toPortAndIp(address));
    socket.on("error", () => {});
    socket.setTimeout(500, () => socket.destroy());
    socket.end(bytes);
    socket.resume();
    await once(socket, "close");
};

/**
 * Returns the peer listener's response to a call with this payload, or undefined if the listener closes the connection
 * instead.
 */
const callPeer = async (mesh: Mesh, key: string, payload: Buffer): Promise<WireResponse | undefined> => {
    const socket = connect(...toPortAndIp(mesh.hosts[0]!.peer));
    const reader = new FrameReader();
    const response = new Promise<WireResponse | undefined>(resolve => {
        socket.on("data", chunk => reader.read(chunk).forEach(frame => resolve(unpackResponse(frame.payload))));
        socket.on("error", () => {}).on("close", () => resolve(undefined));
    });
    socket.write(writeFrame(frameType.greeting, Buffer.from(key)));
    socket.write(writeFrame(frameType.call, payload));
    return await response.finally(() => socket.destroy());
};

test("input: the daemon keeps serving after random bytes on each of its listeners", async () => {
    await withMesh(async mesh => {
        const random = seededRandom(99);
        const host = mesh.hosts[0]!;
        const udpSocket = createSocket("udp4");
        for (let round = 0; round < ROUNDS; round++) {
            const greeting = writeFrame(frameType.greeting, Buffer.from(PEER_KEY));
            const prefixes = [
                Buffer.alloc(0),
                Buffer.from("GET / HTTP/1.1\r\nhost: x\r\n"),
                Buffer.from("POST "),
                greeting,
                Buffer.concat([greeting, Buffer.from([frameType.call, 0, 0, 0, 9])]),
            ];
            const bytes = Buffer.concat([prefixes[round % prefixes.length]!, randomBytes(random)]);
            await Promise.all([host.ingress, host.peer, host.operator].map(address => sendTcp(address, bytes)));
            udpSocket.send(bytes, ...toPortAndIp(host.peer));
        }
        udpSocket.close();
        await pause(100);
        assert.ok(mesh.daemons.get(host.name)!.running);
        const { statusCode, body } = await request(`http://${host.ingress}/pages/1`);
        await body.dump();
        assert.equal(statusCode, 200);
    });
});

test("input: malformed peer calls and invalid operators' commands are refused with a reason", async () => {
    await withMesh(async mesh => {
        const metadata = requestMetadataCodec.write({
            id: "a.1",
            upstream: "pages-1",
            kind: "once",
            priority: "normal",
        });
        const calls = ["", "{", [], {}, [{ id: 1 }], ["x".repeat(100)], [metadata], [metadata, "GET", "/", [], false]];
        for (const call of calls) {
            const payload = typeof call === "string" ? Buffer.from(call) : pack(call);
            const response = await callPeer(mesh, PEER_KEY, payload);
            assert.equal(response?.metadata.reason, "bad-call", JSON.stringify(call));
            assert.equal(response.metadata.outcome, "not-run");
        }
        assert.equal(
            await callPeer(mesh, "demo-key-of-no-secrecz", pack([])),
            undefined,
            "a call with a wrong key gets no response",
        );
        const cases: [string[], RegExp][] = [
            [
                ["rule", "create", "r", "--path-prefix", "pages", "--service", "pages"],
                /changes\.0\.pathPrefix: .*got "pages"/,
            ],
            [["rule", "create", "r", "--path-prefix", "/x", "--service", "nope"], /no service is named nope/],
            [["service", "create", "bad\tname"], /changes\.0\.name: must be 1 to 253/],
            [["service", "delete", "pages"], /upstreams\.0\.service: no service is named pages/],
            [
                ["upstream", "update", "pages-1", "--address", "host:1"],
                /changes\.0\.address: must be IP:PORT; got "host:1"/,
            ],
            [["drain", "nobody"], /upstreams: no upstream is named nobody/],
        ];
        for (const [args, message] of cases) {
            const { code, stderr } = await mesh.cli(...args);
            assert.equal(code, 2, args.join(" "));
            assert.match(stderr, message);
        }
        const status = await mesh.cli("status", "--json");
        assert.equal(
            (JSON.parse(status.stdout) as { revision: number; }).revision,
            1,
            "the configuration has not changed",
        );
    });
});

test("input: the daemon names an invalid setting and exits with status 2", async () => {
    const script = new URL("../bin/winglockd.cjs", import.meta.url).pathname;
    const validSettings = {
        host: "h",
        hall: "a",
        region: "r",
        ingress: "127.0.0.1:1",
        peer: "127.0.0.1:2",
        operator: "127.0.0.1:3",
        store: "127.0.0.1:4",
        peerKey: "0123456789abcdef",
    };
    const cases: [object, RegExp][] = [
        [{ ...validSettings, ingress: "localhost:1" }, /ingress: must be IP:PORT; got "localhost:1"/],
        [{ ...validSettings, peerKey: "short" }, /peerKey: .*got "short"/],
        [{ ...validSettings, colour: "red" }, /colour/],
        [{ ...validSettings, control: { bytesPerSecond: 5 } }, /control\.bytesPerSecond: .*got 5/],
        [{ ...validSettings, hall: undefined }, /hall: .*got nothing/],
    ];
    const file = `${process.env["TMPDIR"] ?? "/tmp"}/winglock-settings-${process.pid}.json`;
    for (const [settings, message] of cases) {
        writeFileSync(file, JSON.stringify(settings));
        const child = new Child(script, ["--settings", file], () => {});
        await assert.rejects(child.ready(), message);
        assert.equal(await child.end(), 2);
    }
});
