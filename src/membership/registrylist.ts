/** What the registry holds. */
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";

/** The daemons' records, what is kept of quarantined requests, and where to watch from. */
export type RegistryList = {
    readonly members: readonly Member[];
    readonly crashes: readonly CrashRecord[];
    readonly at: number;
};
