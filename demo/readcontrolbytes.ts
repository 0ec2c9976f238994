/** Reads how many bytes a daemon has spent for control. */
import { readMetric } from "./readmetric.js";

/** The bytes since the daemon started; 0 when it does not answer. */
export async function controlBytes(operator: string): Promise<number> {
    try {
        return await readMetric(operator, "winglock_control_bytes_total");
    }
    catch (err) {
        console.error(`The daemon at ${operator} told no metrics: ${(err as Error).message}`);
        return 0;
    }
}
