/** Describes the measured cost of one more item. */

/** `perItem` is the cost of one more item in `unit`, from the totals at the first and the last count. */
export type Slope = {
    readonly name: string;
    readonly unit: string;
    readonly perItem: number;
    readonly totals: readonly { readonly count: number; readonly total: number; }[];
};
