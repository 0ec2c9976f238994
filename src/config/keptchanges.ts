/**
 * Limits the change ids that a document keeps. A client that lost the response to a change can look the change up until
 * this many newer ones have been made.
 */
export const keptChanges = 256;
