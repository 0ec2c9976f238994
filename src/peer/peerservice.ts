/** Defines the calls that a daemon handles for its peers. */
import type { ConfigurationUpdate } from "../config/configurationupdate.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { CrashChanges } from "../wire/crashchanges.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { GateStatus } from "./gatestatus.js";
import type { RevokeInput } from "./revokeinput.js";

type Hello = { readonly incarnation: Incarnation; readonly gateTime: number; readonly revision: number; };

/** Implemented by the daemon; the router passes each call to the method of its name. */
export abstract class PeerService {
    abstract hello(): Hello;
    abstract revoke(input: RevokeInput): RevokeResult;
    /** Returns the changes of the configuration since the revision `have`, or undefined if there are none. */
    abstract update(knownRevision: number): ConfigurationUpdate | undefined;
    /** Returns this daemon's own record; throws if the configuration lists the upstreams. */
    abstract member(): Member;
    /** Returns the changes of the member list since a position, or all of it; throws in the same case as `member`. */
    abstract records(knownPosition: RecordsPosition | undefined): RecordChanges;
    /** Adds the peer's changed crash records to this daemon's, and returns those that have changed here. */
    abstract crashes(changes: CrashChanges): CrashChanges;
    abstract status(): GateStatus[];
}
