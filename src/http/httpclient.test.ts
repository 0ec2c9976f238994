/** Responses without a length whose connections end while their readers are slow. */
import assert from "node:assert/strict";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { pause } from "../../test/pause.js";
import { startRawResponder } from "../../test/startrawresponder.js";
import { HttpClient } from "./httpclient.js";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
/** More than undici buffers of a body before it pauses; the connection's buffer takes the whole or a part of it. */
const BODY_LENGTHS = [70_000, 100_000];
const ROUNDS = 4;
/** The connection has ended by then. */
const SLOWNESS_MS = 100;

/** Returns the body, or undefined if it broke off. */
const readSlowly = async (t: TestContext, length: number, ending: "end" | "reset"): Promise<string | undefined> => {
    const { address } = await startRawResponder(t, { head: HEAD, body: "x".repeat(length), ending });
    const client = new HttpClient(`http://${address}`);
    try {
        const { body } = await client.request({ method: "GET", path: "/" });
        body.on("error", () => {
            // Rejects the reading below.
        });
        await pause(SLOWNESS_MS);
        return await text(body);
    }
    catch {
        return undefined;
    }
    finally {
        await client.destroy();
    }
};

for (const length of BODY_LENGTHS) {
    // Guards against an assertion of undici that ended the daemon when a connection ended while its reading was paused.
    test(`http client: ${length} bytes that end in order while their reader is slow are whole`, async t => {
        for (let round = 0; round < ROUNDS; round++) {
            assert.equal((await readSlowly(t, length, "end"))?.length, length);
        }
    });

    // Guards against the same assertion after a reset, and against a part that is taken for the whole response.
    test(`http client: ${length} bytes that end with a reset while their reader is slow are incomplete`, async t => {
        for (let round = 0; round < ROUNDS; round++) {
            assert.equal(await readSlowly(t, length, "reset"), undefined);
        }
    });
}
