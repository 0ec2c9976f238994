/** Fault that the proxy injects. */

/**
 * Applies to the links and client halls that it selects. `cut` refuses and closes connections, `pause` holds bytes
 * back, and `lose` drops the bytes of one direction; each of the three also drops all datagrams.
 */
export type Fault = {
    /** Listening addresses of the links; empty for all. */
    links: string[];
    /** Numbers of the halls from which clients connect or send; empty for all. */
    from: number[];
    cut?: boolean;
    pause?: boolean;
    lose?: "there" | "back";
    delayMs?: number;
    /**
     * Makes the connections that are open now unresponsive without closing them, also after the fault is lifted. New
     * connections work.
     */
    silent?: boolean;
    /** Drops datagrams and does not affect connections. */
    deaf?: boolean;
};
