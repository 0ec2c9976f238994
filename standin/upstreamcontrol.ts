/** What a test may tell an upstream. */

/** What is done to answers: none, broken off, sent twice, shorter or longer than announced, of another request. */
type ResponseFault = "none" | "cut" | "doubled" | "short" | "long" | "foreign" | "late";

/** `slowdown` multiplies service times; `shed` refuses with or without saying that nothing ran. */
export type UpstreamControl = {
    slowdown: number;
    meanMs: number;
    spread: "none" | "low";
    failing: number;
    shed: "no" | "said" | "unsaid";
    /** Of the requests, that are refused where `shed` says so. */
    shedShare: number;
    leaving: boolean;
    /** What it states in its answers as its limit of requests a second; 0 for none. */
    limitPerSecond: number;
    answerFault: ResponseFault;
    faultShare: number;
    /** Mean pause between slow spells, in milliseconds; 0 for none. */
    noiseEveryMs: number;
    next: string;
};
