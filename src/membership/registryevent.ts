/** A change of the registry. */
import type { Address } from "../ids/address.js";
import type { Member } from "../wire/member.js";

/** A record was written, or is gone. */
export type RegistryEvent =
    | { readonly type: "written"; readonly member: Member; }
    | { readonly type: "gone"; readonly gate: Address; };
