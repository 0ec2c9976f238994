/** What a test may tell the store. */

/** `loseAnswers` writes take effect without an answer; `ratePerSecond` bounds the calls. */
export type StoreControl = {
    down: boolean;
    delayMs: number;
    loseAnswers: number;
    ratePerSecond: number;
};
