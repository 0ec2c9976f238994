/** A measured cost of one more of something. */

/** `each` is by the unit, from the smallest and the largest count. */
export type Slope = {
    readonly name: string;
    readonly unit: string;
    readonly perItem: number;
    readonly totals: readonly { readonly count: number; readonly total: number; }[];
};
