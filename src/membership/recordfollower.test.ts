import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import { MemberList } from "./memberlist.js";
import { RecordFollower } from "./recordfollower.js";

const WATCHER = "10.0.0.2:7620" as Address;
/** More requests than any follower may send here; ends the loop where nothing else does. */
const MAX_REQUESTS = 50;

const position = (life: string, at: number): RecordsPosition => ({ life: life as Incarnation, at });

/** Returns the number of requests that a follower sends to a watcher with these positions, the last one repeated. */
const countRequests = async (target: RecordsPosition, ...marks: RecordsPosition[]): Promise<number> => {
    let requests = 0;
    const follower = new RecordFollower({
        memberList: new MemberList("10.0.0.1:7620" as Address),
        fetch: async (): Promise<RecordChanges> => {
            requests += 1;
            if (requests === MAX_REQUESTS) {
                throw new Error("the follower does not end");
            }
            const mark = marks[Math.min(requests, marks.length) - 1]!;
            return { mark, complete: true, members: [], gone: [] };
        },
        clock: () => 0,
    });
    await follower.follow(WATCHER, target);
    return requests;
};

test("follower: requests changes until it is at the watcher's position", async () => {
    assert.equal(await countRequests(position("one", 5), position("one", 5)), 1);
    assert.equal(await countRequests(position("one", 5), position("one", 3), position("one", 6)), 2);
});

test("follower: a position of an incarnation that has ended is replaced by that of the response", async () => {
    assert.equal(await countRequests(position("old", 50), position("new", 2)), 1);
});

// Guards against requests without a pause to a watcher whose responses stay behind its heartbeat.
test("follower: stops when a response is at the same position as the one before", async () => {
    assert.equal(await countRequests(position("one", 5), position("one", 4)), 2);
});
