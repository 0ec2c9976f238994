/** Reads what a process uses from the `/proc` file system. */
import { readFileSync } from "node:fs";

/** Processor time of all threads, in milliseconds, and resident memory, in MB. */
type Usage = { readonly cpuMs: number; readonly residentMb: number; };

const MS_PER_TICK = 10;
const KB_PER_MB = 1024;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Returns what the process `pid` has used and uses now. */
export function readUsage(pid: number): Usage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return { cpuMs: ticks * MS_PER_TICK, residentMb: residentKb / KB_PER_MB };
}
