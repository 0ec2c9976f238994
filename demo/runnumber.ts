/** Gives each run on this machine loopback addresses of its own. */
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const LOCK_PORT = 7999;
const FIRST = 10;
const LAST = 250;

/** The second number of the run's addresses, and the lock that keeps other runs off while it is open. */
type RunNumber = { readonly run: number; readonly lock: Server; };

/** Tries numbers from a random one on until one is free. */
export async function takeRunNumber(): Promise<RunNumber> {
    const start = Math.floor(Math.random() * (LAST - FIRST));
    for (let step = 0; step < LAST - FIRST; step++) {
        const run = FIRST + (start + step) % (LAST - FIRST);
        const lock = createServer();
        const listening = once(lock, "listening");
        lock.listen(LOCK_PORT, `127.${run}.0.1`);
        try {
            await listening;
            return { run, lock };
        }
        catch {
            lock.close();
        }
    }
    throw new Error("no loopback addresses are free");
}
