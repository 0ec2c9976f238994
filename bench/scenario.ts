/** What a policy is put through. */

/** `load` is the share of all slots that is asked for; `rush` raises it in the middle third. */
export type Scenario = {
    readonly name: string;
    readonly load: number;
    readonly rush?: number;
    readonly spread: "low" | "wide";
    /** Mean time between slow spells of each upstream, in milliseconds. */
    readonly noiseEveryMs?: number;
    /** What one of the four upstreams is told for the whole run. */
    readonly bad?: object;
    /** All upstreams are drained and opened again, one after the other. */
    readonly rolling?: boolean;
    readonly storeDown?: boolean;
};
