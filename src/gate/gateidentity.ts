/** Identifies a daemon's incarnation to its peers. */
import type { Incarnation } from "../ids/incarnation.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";

/** The id of this incarnation, and the response metadata that is the same for all gates of the daemon. */
export class GateIdentity {
    constructor(readonly incarnation: Incarnation, private readonly revision: () => number) {}

    responseMetadata(now: number): ResponseMetadata {
        return { incarnation: this.incarnation, gateTime: now, revision: this.revision() };
    }
}
