/** Starts a raw responder for a test. */
import { fork } from "node:child_process";
import { once } from "node:events";
import type { TestContext } from "node:test";
import type { Address } from "../src/ids/address.js";
import type { RawResponderOptions } from "./rawresponderoptions.js";

const SCRIPT = new URL("rawresponder.js", import.meta.url).pathname;

/** `received` resolves when the responder has received the next request. */
type RawResponder = { readonly address: Address; readonly received: () => Promise<void>; };

/** The process ends with the test. */
export async function startRawResponder(t: TestContext, options: RawResponderOptions): Promise<RawResponder> {
    const child = fork(SCRIPT, [JSON.stringify(options)]);
    t.after(() => void child.kill());
    const [port] = await once(child, "message") as [number];
    return {
        address: `127.0.0.1:${port}` as Address,
        received: async () => {
            await once(child, "message");
        },
    };
}
