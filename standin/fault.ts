/** What the proxy does to some links. */

/** `cut` refuses and ends connections; `pause` holds bytes back; `lose` drops one direction. */
export type Fault = {
    /** Links by their listening address; empty for all. */
    links: string[];
    /** Only what comes from these places, by number; empty for all. */
    from: number[];
    cut?: boolean;
    pause?: boolean;
    lose?: "there" | "back";
    delayMs?: number;
    /** Connections that are open when it is set carry nothing more, without an end, also after it is lifted; new ones work. */
    silent?: boolean;
    /** Drops datagrams and leaves connections alone. */
    deaf?: boolean;
};
