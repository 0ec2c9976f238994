/** Reads what a daemon says that it spent for control. */
import { request } from "undici";

const LINE = /^winglock_control_bytes_total\{.*\} (\d+(?:\.\d+)?)$/gm;

/** The bytes since the daemon started; 0 when it does not answer. */
export async function controlBytes(operator: string): Promise<number> {
    try {
        const { body } = await request(`http://${operator}/metrics`);
        const text = await body.text();
        return [...text.matchAll(LINE)].reduce((sum, match) => sum + Number(match[1]), 0);
    }
    catch {
        return 0;
    }
}
