/** What one daemon may send to a service beyond first arrivals, in any window: a share of its requests there, and besides. */
export type Allowance = { readonly ratio: number; readonly reserve: number; };
