/** Reads how many bytes of control traffic a daemon has sent. */
import { readMetric } from "./readmetric.js";

/** Resolves with the number of bytes sent since the daemon started, or 0 if the daemon does not respond. */
export async function readControlBytes(operator: string): Promise<number> {
    try {
        return await readMetric(operator, "winglock_control_bytes_total");
    }
    catch (err) {
        console.error(
            `no metrics from the daemon at ${operator}, control traffic counted as 0 bytes: ${(err as Error).message}`,
        );
        return 0;
    }
}
