/**
 * How deep may calls between services be nested? The design is for six (docs/CAPACITY.md); deeper ones are most likely a loop,
 * and are refused two levels later.
 */
export const maxDepth = 8;
