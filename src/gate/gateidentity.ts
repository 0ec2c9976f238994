/** Who a daemon is to its peers. */
import type { Incarnation } from "../ids/incarnation.js";
import type { AnswerNote } from "../wire/answernote.js";

/** This life's id, and the parts of a note that are the same for all gates of the daemon. */
export class GateIdentity {
    constructor(readonly incarnation: Incarnation, private readonly revision: () => number) {}

    note(now: number): AnswerNote {
        return { incarnation: this.incarnation, gateTime: now, revision: this.revision() };
    }
}
