/** Reads what a process uses, from the kernel. */
import { readdirSync, readFileSync } from "node:fs";

const BYTES_PER_KIB = 1024;

/** `peakBytes` is the largest resident memory since the start of the process. */
type ProcessUsage = { readonly peakBytes: number; readonly descriptors: number; };

/** Returns the usage of a running process; throws if it has ended. */
export function readProcess(pid: number): ProcessUsage {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const peakKib = Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)![1]);
    return { peakBytes: peakKib * BYTES_PER_KIB, descriptors: readdirSync(`/proc/${pid}/fd`).length };
}
