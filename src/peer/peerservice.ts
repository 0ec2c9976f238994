/** What a daemon does for its peers. */
import type { Update } from "../config/update.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { CrashChanges } from "../wire/crashchanges.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { GateStatus } from "./gatestatus.js";
import type { RevokeInput } from "./revokeinput.js";

type Hello = { readonly incarnation: Incarnation; readonly gateTime: number; readonly revision: number; };

/** Implemented by the daemon; the router only translates. */
export abstract class PeerService {
    abstract hello(): Hello;
    abstract revoke(input: RevokeInput): RevokeResult;
    /** What is newer than the revision `have`. */
    abstract update(have: number): Update | undefined;
    /** This daemon's own record. */
    abstract member(): Member;
    /** What the list of daemons has beyond a mark, or all of it. Throws, as `member` does, where the document names the upstreams. */
    abstract records(have: RecordsPosition | undefined): RecordChanges;
    /** What has changed here of requests that crash upstreams; what has changed at the peer is added to it. */
    abstract crashes(changes: CrashChanges): CrashChanges;
    abstract status(): GateStatus[];
}
