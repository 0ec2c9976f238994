/** Another writer leaves odd entries among the records of the daemons, or an upstream announces itself with odd values. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import { withPlatform } from "./withplatform.js";

/** The depth at which a value has about the largest size that the platform's store takes, 1 MiB in base64. */
const MAX_DEPTH = 390_000;
/** More than a daemon has room for in one read of the store; each is small. */
const MANY = 400;
/** Longer than two watches of the records and three announcements. */
const SETTLE_MS = 1500;

const upstream = (fields: object): object => ({
    name: "i-odd",
    service: "pages",
    address: "127.0.0.9:7200",
    slots: 4,
    draining: false,
    ...fields,
});

const member = (fields: object): object => ({
    gate: "127.0.0.9:7100",
    host: "odd",
    hall: "a",
    region: "r",
    incarnation: "odd",
    version: 1,
    upstreams: [upstream({})],
    ...fields,
});

const nested = (depth: number): string => "[".repeat(depth) + "]".repeat(depth);

/** Values of members' records: ports out of range, numbers too large, deeply nested, of other types. */
const ODD_VALUES: readonly string[] = [
    ...["127.0.0.9:99999", "127.0.0.9:-1", "127.0.0.9", "127.0.0.9:1e9"].flatMap(address => [
        JSON.stringify(member({ gate: address })),
        JSON.stringify(member({ upstreams: [upstream({ address })] })),
    ]),
    ...["1e308", "1e999", "-1e999", "9007199254740993", "-1"].flatMap(number => [
        JSON.stringify(member({ version: 0 })).replace("\"version\":0", `"version":${number}`),
        JSON.stringify(member({ upstreams: [upstream({ slots: 0 })] })).replace("\"slots\":0", `"slots":${number}`),
        JSON.stringify(member({ upstreams: [upstream({ limitShare: 0 })] })).replace(
            "\"limitShare\":0",
            `"limitShare":${number}`,
        ),
    ]),
    nested(MAX_DEPTH),
    `{"upstreams":${nested(MAX_DEPTH)}}`,
    "null",
    "",
];

const assertAllServe = async (mesh: PlatformMesh): Promise<void> => {
    for (const { name } of mesh.hosts) {
        assert.ok(mesh.daemons.get(name)!.running, `${name} runs`);
        await eventually(`${name} serves both services`, async () => {
            const pages = await mesh.send(name, "GET", "/pages/1", "after");
            const fees = await mesh.send(name, "POST", "/fees/1", "after");
            return pages.status === 200 && fees.status === 200;
        });
    }
};

const restart = async (mesh: PlatformMesh, name: string): Promise<void> => {
    await mesh.daemons.get(name)!.end("SIGKILL");
    await mesh.startDaemon(name).ready();
};

// Guards against a reader of the daemons' records that ends, or stops following them, because of one entry of another writer.
test("odd entries: daemons that follow or read odd records go on and serve", async () => {
    await withPlatform(async mesh => {
        for (const [index, value] of ODD_VALUES.entries()) {
            await mesh.putAsOperator(
                `winglock/members/127.0.0.9:${index % 2 === 0 ? 7100 + index : 99_000 + index}`,
                value,
            );
            await mesh.putAsOperator(`winglock/crashes/odd-${index}`, value);
        }
        await pause(SETTLE_MS);
        await assertAllServe(mesh);
        await restart(mesh, "pages-1");
        await assertAllServe(mesh);
    });
});

test("odd entries: daemons that read several hundred odd records go on and serve", async () => {
    await withPlatform(async mesh => {
        const small = ODD_VALUES.filter(value => value.length < MAX_DEPTH);
        for (let index = 0; index < MANY; index++) {
            await mesh.putAsOperator(
                `winglock/members/127.1.${index >> 8}.${index & 255}:7100`,
                small[index % small.length]!,
            );
        }
        await restart(mesh, "fees-1");
        await pause(SETTLE_MS);
        await assertAllServe(mesh);
    });
});

// Guards against the same by an announcement, which reaches all daemons through the record of the one beside the upstream.
test("odd entries: announcements with odd values are refused or harmless, and daemons go on", async () => {
    await withPlatform(async mesh => {
        const url = `http://${mesh.host("fees-1").ip}:7106/v1/upstreams/i-odd`;
        const announcement = JSON.stringify({
            service: "pages",
            address: "127.0.0.9:7200",
            slots: 4,
            state: "ready",
            coldMs: 0,
            born: 1,
            sequence: 1,
        });
        const bodies = [
            announcement.replace("127.0.0.9:7200", "127.0.0.9:99999"),
            announcement.replace("127.0.0.9:7200", "127.0.0.9:-1"),
            ...["slots", "coldMs", "born", "sequence"].flatMap(field =>
                ["1e308", "1e999", "9007199254740993", "-1", nested(3000)].map(value =>
                    announcement.replace(new RegExp(`"${field}":\\d+`), `"${field}":${value}`)
                )
            ),
        ];
        for (const body of bodies) {
            const { statusCode, body: text } = await request(url, { method: "POST", body });
            await text.dump();
            assert.ok(statusCode === 200 || statusCode === 400, `${statusCode} for ${body.slice(0, 200)}`);
        }
        await pause(SETTLE_MS);
        await assertAllServe(mesh);
    });
});
