/**
 * Determines whether the caller of one connection has left.
 *
 * Owns the probe that tells a caller that has left from one that has only shut down its sending side.
 */
import type { Socket } from "node:net";
import type { Clock } from "../time/clock.js";
import { DisconnectProbe } from "./disconnectprobe.js";

/** Times are in milliseconds on the daemon's clock. */
export class CallerPresence {
    readonly #probe: DisconnectProbe;
    #endReadAt: number | undefined;
    #closedAt: number | undefined;

    /** `mayProbe` returns false while no request waits for a response, and once a response has begun. */
    constructor(socket: Socket, private readonly clock: Clock, mayProbe: () => boolean) {
        this.#probe = new DisconnectProbe(socket, mayProbe);
    }

    /** True once the caller has shut down its sending side. */
    get isHalfClosed(): boolean {
        return this.#endReadAt !== undefined;
    }

    /** The time at which the end of what the caller sends was read; undefined before. */
    get endReadAt(): number | undefined {
        return this.#endReadAt;
    }

    /** The time at which the connection closed; undefined before. */
    get closedAt(): number | undefined {
        return this.#closedAt;
    }

    /** Begins to probe: a caller that has ended its side may still read. */
    recordEnd(): void {
        this.#endReadAt = this.clock();
        this.#probe.start();
    }

    recordClose(): void {
        this.#closedAt = this.clock();
        this.#probe.stop();
    }
}
