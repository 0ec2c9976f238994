/** A bound of the document. */

/** How many change ids a document keeps; a lost answer must be asked for within so many changes. */
export const keptChanges = 256;
