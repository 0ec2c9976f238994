/**
 * Maximum nesting depth of calls between services. The design assumes up to six levels (docs/CAPACITY.md); deeper calls
 * are most likely a loop, and are refused two levels later.
 */
export const maxDepth = 8;
