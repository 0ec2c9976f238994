/** An upstream sends responses that HTTP does not allow, and one whose body can't be decoded. */
import assert from "node:assert/strict";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { sendToUpstream } from "../../test/sendtoupstream.js";
import { startUpstreamClient } from "../../test/startupstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";

const ID = "r-1";
const CHUNKED_BODY = "5\r\nwhole\r\n0\r\n\r\n";

/** Sends one request, and returns the body of the response; `response` is what the upstream sends before it closes. */
const receive = async (t: TestContext, response: string): Promise<string> => {
    const { client } = await startUpstreamClient(t, socket => void socket.once("data", () => socket.end(response)));
    const { body } = await sendToUpstream(client, ID);
    return await text(body);
};

const responseOf = (statusLine: string, fields: string, body: string): string =>
    `HTTP/1.1 ${statusLine}\r\nwinglock-request-id: ${ID}\r\n${fields}\r\n\r\n${body}`;

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

for (
    const statusLine of [
        "000",
        "000 OK",
        "001 OK",
        "099 OK",
        "199 OK",
        "100 Continue",
        "101 Switching Protocols",
        "0 OK",
    ]
) {
    // Guards against a status that is no final one and reaches callers as an answer.
    test(`invalid responses: the status line "${statusLine}" breaks the response`, async t => {
        await assert.rejects(receive(t, responseOf(statusLine, "content-length: 5", "whole")), isBroken);
    });
}

const invalidNames = {
    "a blank inside": "x y",
    "a blank before the colon": "x ",
    "a blank in front": "a: 1\r\nx: 2\r\n y",
    "a tab": "x\ty",
    "NUL": "x\0y",
    "SOH": "x\x01y",
    "VT": "x\vy",
    "FF": "x\fy",
    "CR": "x\ry",
    "ESC": "x\x1by",
    "DEL": "x\x7fy",
    "eight bits": "x\xe9y",
    "no character": "",
    "a separator": "x(y",
};

for (const [description, name] of Object.entries(invalidNames)) {
    for (const position of ["first", "last"]) {
        // Guards against a line of the head that is passed on, or that hides where the body of the response ends.
        test(`invalid responses: ${description} in the name of the ${position} field breaks the response`, async t => {
            const fields = [`${name}: 1`, "content-length: 5"];
            const head = (position === "first" ? fields : fields.reverse()).join("\r\n");
            await assert.rejects(receive(t, responseOf("200 OK", head, "whole")), isBroken);
        });
    }
}

for (const name of ["content-length ", "content length", "content-length\0", "\x01content-length"]) {
    // Guards against a length that one reader takes for the length of the body and another one does not.
    test(`invalid responses: the field ${JSON.stringify(name)} breaks the response`, async t => {
        await assert.rejects(receive(t, responseOf("200 OK", `${name}: 3`, "whole")), isBroken);
    });
}
