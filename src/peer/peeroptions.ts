/** Defines the settings and callbacks of connections to peers. */
import type { Socket } from "node:net";
import type { Address } from "../ids/address.js";
import type { Clock } from "../time/clock.js";

/** `localIp` is the source address of the connections; `key` is shared by all daemons. */
export type PeerOptions = {
    readonly localIp: string;
    readonly key: string;
    readonly clock: Clock;
    /** Called after an unresponsive connection to the address has been closed. */
    readonly onUnresponsive: (address: Address) => void;
    /** Called with each new connection and the IP address of the peer. */
    readonly onSocket?: (socket: Socket, ip: string) => void;
    /** Called with the IP address of the peer for each call. */
    readonly onCall?: (ip: string) => void;
};
