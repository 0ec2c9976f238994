import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";
import { Claims } from "./announcementrecorder.js";
import { LocalUpstreams } from "./localupstreamtable.js";

const OLD = "i-old" as UpstreamName;
const NEW = "i-new" as UpstreamName;
const SILENT_MS = 7000;

const say = (sequence: number): Announcement => ({
    service: "s" as Announcement["service"],
    address: "10.0.0.1:80" as Announcement["address"],
    slots: 4,
    state: "ready",
    coldMs: 0,
    sequence,
});

const names = (local: LocalUpstreams): string[] => local.all.map(upstream => upstream.name);

const permute = <Item>(items: readonly Item[]): Item[][] =>
    items.length === 0
        ? [[]]
        : items.flatMap((item, at) =>
            permute([...items.slice(0, at), ...items.slice(at + 1)]).map(rest => [item, ...rest])
        );

/** What may reach the daemon after the old upstream has crashed and the new one serves, in whatever order. */
const EVENTS = ["old 8", "old 9", "new 1", "new 2", "silence", "restart"] as const;

/** Plays the events at a daemon that knew the old upstream; the new one is at the address from the start. */
const play = async (events: readonly string[]): Promise<LocalUpstreams> => {
    let local = new LocalUpstreams();
    let now = 0;
    local.record(OLD, say(7), now);
    const occupant = { type: "named", name: NEW } as const;
    let claims = new Claims(local, () => Promise.resolve(occupant));
    for (const event of events) {
        const [what, sequence] = event.split(" ");
        if (what === "silence") {
            now += SILENT_MS;
            local.removeSilent(now);
        }
        else if (what === "restart") {
            local = new LocalUpstreams();
            claims = new Claims(local, () => Promise.resolve(occupant));
        }
        else {
            await claims.record(what === "old" ? OLD : NEW, say(Number(sequence)), now);
        }
    }
    await claims.record(NEW, say(3), now);
    return local;
};

test("claims: in whatever order announcements arrive, the new upstream stays and the old one does not come back", async () => {
    for (const events of permute(EVENTS)) {
        assert.deepEqual(names(await play(events)), [NEW], events.join(", "));
    }
});

test("claims: once the new upstream is known, no late word of the old one takes it out for a moment", async () => {
    const late = fc.array(fc.integer({ min: 8, max: 20 }), { minLength: 1, maxLength: 5 });
    await fc.assert(fc.asyncProperty(late, fc.boolean(), async (sequences, wasSilent) => {
        const local = new LocalUpstreams();
        local.record(OLD, say(7), 0);
        const claims = new Claims(local, () => Promise.resolve({ type: "named", name: NEW }));
        if (wasSilent) {
            local.removeSilent(SILENT_MS);
        }
        await claims.record(NEW, say(1), SILENT_MS);
        for (const sequence of sequences) {
            assert.equal(await claims.record(OLD, say(sequence), SILENT_MS), false);
            assert.deepEqual(names(local), [NEW]);
        }
    }));
});

test("claims: while nobody answers at the address nothing is decided, and nothing acknowledged", async () => {
    const local = new LocalUpstreams();
    local.record(NEW, say(1), 0);
    const claims = new Claims(local, () => Promise.resolve({ type: "silent" }));
    await assert.rejects(claims.record(OLD, say(9), 0), { name: "MembershipError" });
    assert.deepEqual(names(local), [NEW]);
});

test("claims: where upstreams give no name, the last word counts", async () => {
    const local = new LocalUpstreams();
    local.record(OLD, say(1), 0);
    const claims = new Claims(local, () => Promise.resolve({ type: "unnamed" }));
    assert.equal(await claims.record(NEW, say(1), 0), true);
    assert.deepEqual(names(local), [NEW]);
});
