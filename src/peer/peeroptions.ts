/** What every call to a peer needs. */
import type { Address } from "../ids/address.js";
import type { Clock } from "../time/clock.js";

/** `localIp` is the address that connections go out from; `key` is shared by all daemons. */
export type PeerOptions = {
    readonly localIp: string;
    readonly key: string;
    readonly clock: Clock;
    /** Told of a connection to a peer that was found to carry nothing any more. */
    readonly onSilent: (address: Address) => void;
};
