import assert from "node:assert/strict";
import { test } from "node:test";
import type { Upstream } from "../config/upstream.js";
import type { Message } from "../datagram/message.js";
import { Evacuations } from "../evacuation/evacuations.js";
import type { Hop } from "../hop/hop.js";
import { Cancellation } from "../http/cancellation.js";
import type { Address } from "../ids/address.js";
import { UpstreamTable } from "../ingress/upstreamtable.js";
import { FailureDetector } from "./failuredetector.js";

const upstream = (name: string, port: number): Upstream =>
    ({ name, service: "s", gate: `127.0.0.1:${port}`, slots: 4, draining: false }) as Upstream;

type TestTimers = { mock: { timers: { enable(): void; tick(ms: number): void; }; }; };
type Attempt = { readonly name: string; readonly cancel: Cancellation; };

/**
 * Starts an attempt at each of two gates that have responded to a ping, and returns the upstreams whose attempts are
 * cancelled within a second. Only the gates of `responsive` respond to further pings.
 */
const cancelledAttempts = async (
    t: TestTimers,
    responsive: string[],
) => {
    t.mock.timers.enable();
    let now = 0;
    const upstreams = new UpstreamTable(
        () => ({ hop: undefined as never, sameHall: true, sameRegion: true, local: false }),
        new Evacuations(),
    );
    upstreams.apply([upstream("a", 1), upstream("b", 2)]);
    const views = upstreams.ofService("s" as never);
    const detector: FailureDetector = new FailureDetector({
        self: "127.0.0.1:9" as Address,
        clock: () => now,
        upstreams,
        send: (to: Address, message: Message) => {
            const name = views.find(view => view.settings.gate === to)!.upstream;
            if (message.type === "ping" && responsive.includes(name)) {
                detector.receivePong({ type: "pong", from: to, sentAt: now, loads: [] } as never);
            }
            return true;
        },
    });
    views.forEach(view =>
        detector.receivePong({ type: "pong", from: view.settings.gate, sentAt: now, loads: [] } as never)
    );
    const attempts: Attempt[] = views.map(view => ({ name: view.upstream, cancel: new Cancellation() }));
    views.forEach((view, index) => view.attemptStarted(now, attempts[index]!.cancel));
    detector.start();
    for (; now < 1000; now += 50) {
        t.mock.timers.tick(50);
    }
    detector.stop();
    return attempts.filter(attempt => attempt.cancel.aborted).map(attempt => attempt.name);
};

test("failure detector: cancels the attempt at an unresponsive gate if another gate responds", async t => {
    assert.deepEqual(await cancelledAttempts(t as never, ["b"]), ["a"]);
});

test("failure detector: does not cancel the attempt at the last gate if all gates are unresponsive", async t => {
    assert.deepEqual(await cancelledAttempts(t as never, []), ["a"]);
});

/**
 * Starts an attempt at each of two gates that have never responded to a ping, nor do now, and returns the upstreams
 * whose attempts are cancelled within a second. Only the gates of `responsive` respond to probes over a connection.
 */
const cancelledAtUnknownGates = async (t: TestTimers, responsive: string[]): Promise<string[]> => {
    t.mock.timers.enable();
    let now = 0;
    const upstreams = new UpstreamTable(({ name }) => ({
        hop: { probe: () => Promise.resolve(responsive.includes(name)) } as unknown as Hop,
        sameHall: true,
        sameRegion: true,
        local: false,
    }), new Evacuations());
    upstreams.apply([upstream("a", 1), upstream("b", 2)]);
    const detector = new FailureDetector({
        self: "127.0.0.1:9" as Address,
        clock: () => now,
        upstreams,
        send: () => true,
    });
    const attempts = upstreams.ofService("s" as never).map(view => {
        const cancel = new Cancellation();
        view.attemptStarted(now, cancel);
        return { name: view.upstream, cancel };
    });
    detector.start();
    for (; now < 1000; now += 50) {
        t.mock.timers.tick(50);
        await Promise.resolve();
        await Promise.resolve();
    }
    detector.stop();
    return attempts.filter(attempt => attempt.cancel.aborted).map(attempt => attempt.name);
};

// Guards against requests that wait out their time limit at a gate that has never responded to anything.
test("failure detector: cancels the attempt at a gate that never responded to a ping and does not respond to a probe", async t => {
    assert.deepEqual(await cancelledAtUnknownGates(t as never, ["b"]), ["a"]);
});

test("failure detector: a gate whose datagrams are lost but that responds to a probe keeps its attempts", async t => {
    assert.deepEqual(await cancelledAtUnknownGates(t as never, ["a", "b"]), []);
});

test("failure detector: at gates that never responded, does not cancel the attempt at the last one", async t => {
    assert.deepEqual(await cancelledAtUnknownGates(t as never, []), ["a"]);
});
