/** Runs a test body against what it has started. */
import { keepLog } from "./keeplog.js";
import { pause } from "./pause.js";

/** Longer than the daemons keep lines back. */
const LOG_BATCH_MS = 300;

/** `log` holds the daemons' lines. */
type Started = { readonly log: readonly string[]; stop(): Promise<unknown>; };

/** Keeps the log when the body fails, and stops every process whatever came of it. */
export async function runWith<Mesh extends Started>(mesh: Mesh, body: (mesh: Mesh) => Promise<void>): Promise<void> {
    try {
        await body(mesh);
    }
    catch (err) {
        await pause(LOG_BATCH_MS);
        keepLog(mesh.log);
        throw err;
    }
    finally {
        await mesh.stop();
    }
}
