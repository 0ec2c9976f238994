/** Reads what a daemon says that it spent for control. */
import { sumMetric } from "./summetric.js";

/** The bytes since the daemon started; 0 when it does not answer. */
export function controlBytes(operator: string): Promise<number> {
    return sumMetric([operator], "winglock_control_bytes_total");
}
