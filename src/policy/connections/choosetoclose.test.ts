import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseToClose } from "./choosetoclose.js";
import type { ConnectionState } from "./connectionstate.js";

const connection = (
    state: ConnectionState,
    since: number,
): { readonly state: ConnectionState; readonly since: number; } => ({
    state,
    since,
});

test("choose to close: silent connections go first, then idle, unfinished and unread ones", () => {
    const connections = [
        connection("busy", 0),
        connection("unread", 1),
        connection("unfinished", 2),
        connection("idle", 3),
        connection("silent", 4),
    ];
    for (const expected of ["silent", "idle", "unfinished", "unread"]) {
        const chosen = chooseToClose(connections)!;
        assert.equal(chosen.state, expected);
        connections.splice(connections.indexOf(chosen), 1);
    }
    assert.equal(chooseToClose(connections), undefined);
});

test("choose to close: the connection that has been in its state for longest goes first", () => {
    const old = connection("silent", 1);
    assert.equal(chooseToClose([connection("silent", 2), old, connection("silent", 3)]), old);
});
