/** An upstream sends responses that HTTP does not allow, and one whose body can't be decoded. */
import assert from "node:assert/strict";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { startUpstreamClient } from "../../test/startupstreamclient.js";
import type { GateCall } from "../hop/gatecall.js";
import { UpstreamError } from "./upstreamerror.js";

const REQUEST_ID = "winglock-request-id";
const ID = "r-1";
const CHUNKED_BODY = "5\r\nwhole\r\n0\r\n\r\n";

/** Sends one request, and returns the body of the response; `response` is what the upstream sends before it closes. */
const receive = async (t: TestContext, response: string): Promise<string> => {
    const { client } = await startUpstreamClient(t, socket => void socket.once("data", () => socket.end(response)));
    const call = { method: "GET", path: "/fees", body: undefined } as GateCall;
    const { body } = await client.send(call, { [REQUEST_ID]: ID }, {
        cancel: undefined,
        onConnected: () => {},
        checkWrite: () => undefined,
        deadline: Infinity,
    });
    return await text(body);
};

const responseOf = (statusLine: string, fields: string, body: string): string =>
    `HTTP/1.1 ${statusLine}\r\n${REQUEST_ID}: ${ID}\r\n${fields}\r\n\r\n${body}`;

const isBroken = (err: unknown): boolean => err instanceof UpstreamError && err.reason === "upstream-broke";

for (const codings of ["xchunked", "chunked, identity", "gzip", "gzip, chunked"]) {
    // Guards against a body that holds the chunk sizes of the instance, or is still encoded (MIXED).
    test(`invalid responses: the transfer codings "${codings}" break the response`, async t => {
        const response = responseOf("200 OK", `transfer-encoding: ${codings}`, CHUNKED_BODY);
        await assert.rejects(receive(t, response), isBroken);
    });
}

for (const [codings, body] of [["identity", "whole"], ["chunked", CHUNKED_BODY], ["identity, chunked", CHUNKED_BODY]]) {
    test(`invalid responses: the transfer codings "${codings}" are decoded`, async t => {
        assert.equal(await receive(t, responseOf("200 OK", `transfer-encoding: ${codings}`, body!)), "whole");
    });
}

for (const status of ["600", "700", "999"]) {
    // Guards against a status that is passed on although HTTP does not have it, and clients treat it in ways of their own.
    test(`invalid responses: the status ${status} breaks the response`, async t => {
        await assert.rejects(receive(t, responseOf(status, "content-length: 5", "whole")), isBroken);
    });
}
