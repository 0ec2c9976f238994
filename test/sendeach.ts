/** Does something again and again for a time, without waiting for what comes of it. */
import { pause } from "./pause.js";

/** `send` is called every `everyMs` for `ms`, with how often it was called before; resolves with what came of all. */
export async function sendEach<Told>(
    ms: number,
    everyMs: number,
    send: (at: number) => Promise<Told>,
): Promise<Told[]> {
    const until = performance.now() + ms;
    const sent: Promise<Told>[] = [];
    while (performance.now() < until) {
        sent.push(send(sent.length));
        await pause(everyMs);
    }
    return await Promise.all(sent);
}
