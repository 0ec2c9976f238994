/** Runs a test body against a set of started processes. */
import { keepLog } from "./keeplog.js";
import { pause } from "./pause.js";

/** Longer than daemons buffer log lines before they write them. */
const LOG_FLUSH_MS = 300;

/** The processes of a test; `log` holds the log lines of the daemons. */
type StartedMesh = { readonly log: readonly string[]; stop(): Promise<unknown>; };

/** Runs the body and stops every process, also if the body fails; saves the log if it fails. */
export async function runWith<Mesh extends StartedMesh>(
    mesh: Mesh,
    body: (mesh: Mesh) => Promise<void>,
): Promise<void> {
    try {
        await body(mesh);
    }
    catch (err) {
        await pause(LOG_FLUSH_MS);
        keepLog(mesh.log);
        throw err;
    }
    finally {
        await mesh.stop();
    }
}
