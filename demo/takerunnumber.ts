/** Reserves a range of loopback addresses, 127.RUN.0.0/16, for each run on this machine. */
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const LOCK_PORT = 7999;
const FIRST_RUN_NUMBER = 10;
const LAST_RUN_NUMBER = 250;

/** Second number of the addresses of a run, and the server that reserves this number as long as it listens. */
type RunNumber = { readonly run: number; readonly lock: Server; };

/** Reserves the first free number from a random one on. Rejects if all numbers are in use. */
export async function takeRunNumber(): Promise<RunNumber> {
    const start = Math.floor(Math.random() * (LAST_RUN_NUMBER - FIRST_RUN_NUMBER));
    for (let step = 0; step < LAST_RUN_NUMBER - FIRST_RUN_NUMBER; step++) {
        const run = FIRST_RUN_NUMBER + (start + step) % (LAST_RUN_NUMBER - FIRST_RUN_NUMBER);
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
    throw new Error("no run number is free: the loopback addresses of all runs are in use");
}
