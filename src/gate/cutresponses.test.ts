/** An upstream stops at each byte of its response, and closes or resets its connection there. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { sendToUpstream } from "../../test/sendtoupstream.js";
import { startUpstreamClient } from "../../test/startupstreamclient.js";
import type { UpstreamClient } from "./upstreamclient.js";

const REQUEST_ID = "winglock-request-id";
/** Time after a response by which its connection can be reused. */
const RELEASE_MS = 5;
const BODY = "whole body";

type Format = "content-length" | "chunked";
type Ending = "end" | "reset";

const responseOf = (id: string, format: Format): string => {
    const framing = format === "chunked" ? "transfer-encoding: chunked" : `content-length: ${BODY.length}`;
    const body = format === "chunked" ? `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n` : BODY;
    return `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n${framing}\r\n\r\n${body}`;
};

const cut = (socket: Socket, part: string, ending: Ending): void => {
    const close = (): void => void (ending === "end" ? socket.end() : socket.resetAndDestroy());
    if (part === "") {
        close();
    }
    else {
        socket.write(part, close);
    }
};

/** Starts an upstream that sends so many bytes of the response to a request whose id says so, and whole ones to others. */
const startClient = async (t: TestContext, format: Format, ending: Ending): Promise<UpstreamClient> => {
    const respond = (socket: Socket, data: Buffer): void => {
        const id = /winglock-request-id: (\S+)/.exec(data.toString())![1]!;
        const bytes = /^cut-(\d+)/.exec(id)?.[1];
        const response = responseOf(id, format);
        if (bytes === undefined) {
            socket.write(response);
        }
        else {
            cut(socket, response.slice(0, Number(bytes)), ending);
        }
    };
    const { client } = await startUpstreamClient(t, socket => void socket.on("data", data => respond(socket, data)));
    return client;
};

/** Returns the body of the response, or undefined if the request or the body failed. */
const send = async (client: UpstreamClient, id: string): Promise<string | undefined> => {
    try {
        const { body } = await sendToUpstream(client, id);
        return await text(body);
    }
    catch {
        return undefined;
    }
};

for (const format of ["content-length", "chunked"] as const) {
    for (const ending of ["end", "reset"] as const) {
        for (const connection of ["new", "reused"] as const) {
            // Guards against an empty or short body that is passed on as a whole one, when an upstream stops in its head.
            test(`cut responses: ${format}, ${ending}, ${connection} connection: none looks whole`, async t => {
                const client = await startClient(t, format, ending);
                assert.equal(await send(client, "whole"), BODY);
                const { length } = responseOf("cut-00", format);
                for (let bytes = 0; bytes < length - 2; bytes++) {
                    if (connection === "reused") {
                        await send(client, `whole-${bytes}`);
                        await wait(RELEASE_MS);
                    }
                    const id = `cut-${bytes}`.padEnd("cut-00".length, "-");
                    assert.equal(await send(client, id), undefined, `cut after ${bytes} bytes`);
                }
            });
        }
    }
}
