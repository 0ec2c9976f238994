import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";
import { AnnouncementRecorder } from "./announcementrecorder.js";
import { LocalUpstreamTable } from "./localupstreamtable.js";

const OLD = "i-old" as UpstreamName;
const NEW = "i-new" as UpstreamName;
const ANNOUNCEMENT_TIMEOUT_MS = 7000;

const announcementOf = (sequence: number): Announcement => ({
    service: "s" as Announcement["service"],
    address: "10.0.0.1:80" as Announcement["address"],
    slots: 4,
    state: "ready",
    coldMs: 0,
    sequence,
});

const namesIn = (table: LocalUpstreamTable): string[] => table.all.map(upstream => upstream.name);

const permutationsOf = <Item>(items: readonly Item[]): Item[][] =>
    items.length === 0
        ? [[]]
        : items.flatMap((item, index) =>
            permutationsOf([...items.slice(0, index), ...items.slice(index + 1)]).map(rest => [item, ...rest])
        );

/** Events that may reach the daemon in any order after the old upstream has crashed and the new one serves. */
const EVENTS = ["old 8", "old 9", "new 1", "new 2", "timeout", "restart"] as const;

/**
 * Applies the events, and then an announcement of the new upstream, to a daemon where the old upstream was registered;
 * returns its table. The new upstream responds at the address from the start.
 */
const applyEvents = async (events: readonly string[]): Promise<LocalUpstreamTable> => {
    let table = new LocalUpstreamTable();
    let now = 0;
    table.record(OLD, announcementOf(7), now);
    const occupant = { type: "named", name: NEW } as const;
    let recorder = new AnnouncementRecorder(table, () => Promise.resolve(occupant));
    for (const event of events) {
        const [kind, sequence] = event.split(" ");
        if (kind === "timeout") {
            now += ANNOUNCEMENT_TIMEOUT_MS;
            table.removeUnresponsive(now);
        }
        else if (kind === "restart") {
            table = new LocalUpstreamTable();
            recorder = new AnnouncementRecorder(table, () => Promise.resolve(occupant));
        }
        else {
            await recorder.record(kind === "old" ? OLD : NEW, announcementOf(Number(sequence)), now);
        }
    }
    await recorder.record(NEW, announcementOf(3), now);
    return table;
};

test("announcement recorder: the new upstream stays and the old one is removed, in any order of events", async () => {
    for (const events of permutationsOf(EVENTS)) {
        assert.deepEqual(namesIn(await applyEvents(events)), [NEW], events.join(", "));
    }
});

test("announcement recorder: delayed announcements of the old upstream never remove the registered new one", async () => {
    const lateSequences = fc.array(fc.integer({ min: 8, max: 20 }), { minLength: 1, maxLength: 5 });
    await fc.assert(fc.asyncProperty(lateSequences, fc.boolean(), async (sequences, hasTimedOut) => {
        const table = new LocalUpstreamTable();
        table.record(OLD, announcementOf(7), 0);
        const recorder = new AnnouncementRecorder(table, () => Promise.resolve({ type: "named", name: NEW }));
        if (hasTimedOut) {
            table.removeUnresponsive(ANNOUNCEMENT_TIMEOUT_MS);
        }
        await recorder.record(NEW, announcementOf(1), ANNOUNCEMENT_TIMEOUT_MS);
        for (const sequence of sequences) {
            assert.equal(await recorder.record(OLD, announcementOf(sequence), ANNOUNCEMENT_TIMEOUT_MS), false);
            assert.deepEqual(namesIn(table), [NEW]);
        }
    }));
});

test("announcement recorder: rejects an announcement and changes nothing if no upstream responds", async () => {
    const table = new LocalUpstreamTable();
    table.record(NEW, announcementOf(1), 0);
    const recorder = new AnnouncementRecorder(table, () => Promise.resolve({ type: "silent" }));
    await assert.rejects(recorder.record(OLD, announcementOf(9), 0), { name: "MembershipError" });
    assert.deepEqual(namesIn(table), [NEW]);
});

test("announcement recorder: the last announcement counts if the upstream at the address reports no name", async () => {
    const table = new LocalUpstreamTable();
    table.record(OLD, announcementOf(1), 0);
    const recorder = new AnnouncementRecorder(table, () => Promise.resolve({ type: "unnamed" }));
    assert.equal(await recorder.record(NEW, announcementOf(1), 0), true);
    assert.deepEqual(namesIn(table), [NEW]);
});
