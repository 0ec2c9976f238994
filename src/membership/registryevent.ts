/** Defines a change in the registry. */
import type { Address } from "../ids/address.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";

/** A daemon's record was written, or is gone; or the crash record of a quarantined request was stored. */
export type RegistryEvent =
    | { readonly type: "written"; readonly member: Member; }
    | { readonly type: "gone"; readonly gate: Address; }
    | { readonly type: "crashes"; readonly record: CrashRecord; };
