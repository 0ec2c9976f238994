/** What a caller was told of one request. */

/** `cut`: the connection broke with the answer begun or the request sent; `refused`: no daemon took it. */
type Word = "answered" | "not-run" | "unknown" | "cut" | "refused";

/** Times in milliseconds from when the request was meant to be sent. */
export type Told = {
    readonly id: string;
    readonly kind: string;
    readonly once: boolean;
    readonly word: Word;
    readonly status: number;
    readonly wrong: boolean;
    /** The answer begins as another request's does. */
    readonly foreign?: boolean;
    readonly ms: number;
    readonly at: number;
};
