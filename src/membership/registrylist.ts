/** Defines the content of the registry. */
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";

/** All records in the registry at one time. */
export type RegistryList = {
    /** The records of the daemons. */
    readonly members: readonly Member[];
    /** The crash records of quarantined requests. */
    readonly crashes: readonly CrashRecord[];
    /** The position in the store's history from which a watch continues. */
    readonly at: number;
};
