/** A measured cost of one more of something. */

/** `each` is by the unit, from the smallest and the largest count. */
export type Slope = {
    readonly what: string;
    readonly unit: string;
    readonly each: number;
    readonly at: readonly { readonly count: number; readonly total: number; }[];
};
