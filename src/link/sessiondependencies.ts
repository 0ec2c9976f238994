/** Defines the dependencies of the serving end of a connection. */
import type { Cancellation } from "../http/cancellation.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import type { ServedCall } from "./servedcall.js";
import type { ServedResponse } from "./servedresponse.js";

/** Dependencies that the listener provides; `serve` never rejects. */
export type SessionDependencies = {
    readonly key: Buffer;
    readonly serve: (call: ServedCall, cancel: Cancellation) => Promise<ServedResponse>;
    /** Returns the refusal of a request that can't be decoded. */
    readonly refuseInvalid: (err: unknown) => ServedResponse;
    /** Returns this daemon's incarnation and clock, which are the response to a probe. */
    readonly identity: () => ResponseMetadata;
    /** Returns true if each response is to be its connection's last one. */
    readonly isClosing: () => boolean;
};
