/** A position in the history of the store. */

/**
 * `era` rises with each restore of the store from a backup, `revision` with each change; revisions compare only within
 * an era.
 */
export type StorePosition = { readonly era: number; readonly revision: number; };
