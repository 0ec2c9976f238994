/** What a daemon does for its peers. */
import type { Update } from "../config/update.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { Member } from "../wire/member.js";
import type { GateStatus } from "./gatestatus.js";
import type { RevokeInput } from "./revokeinput.js";

type Hello = { readonly incarnation: Incarnation; readonly gateTime: number; readonly revision: number; };

/** Implemented by the daemon; the router only translates. */
export abstract class PeerService {
    abstract hello(): Hello;
    abstract revoke(input: RevokeInput): RevokeResult;
    /** What is newer than the revision `have`. */
    abstract update(have: number): Update | undefined;
    /** The daemons that are known, this one first; none where the document names the upstreams. */
    abstract members(): Member[];
    abstract status(): GateStatus[];
}
