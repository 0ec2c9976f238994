/** A change of the registry. */
import type { Address } from "../ids/address.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { Member } from "../wire/member.js";

/** A record was written, or is gone; or something is kept of a quarantined request. */
export type RegistryEvent =
    | { readonly type: "written"; readonly member: Member; }
    | { readonly type: "gone"; readonly gate: Address; }
    | { readonly type: "crashes"; readonly record: CrashRecord; };
