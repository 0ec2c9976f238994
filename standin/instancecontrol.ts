/** What a test can do to the stand-in of an instance. */

/** `pace` in hundredths; `silent`: it announces nothing more. */
export type InstanceControl = {
    state: "ready" | "draining" | "left";
    workMs: number;
    pace: number;
    fault: "none" | "foreign" | "lost" | "short" | "unframed-reset" | "unframed-end";
    silent: boolean;
    /** It turns cold for so long, in milliseconds. */
    coldMs: number;
    /** What it states in its answers as its limit of requests a second; empty for no limit. */
    limit: string;
    /** It says in its answers that it leaves. */
    leaving: boolean;
    /** Its health answers say both too. */
    saysOnHealth: boolean;
};
