/** Defines the result of a watch or a stale read of the store. */
import type { HallsChange } from "../policy/halls/hallschange.js";
import type { StoredDocument } from "./storeddocument.js";

/**
 * `document` is the configuration if it has changed. `halls` are the evacuated halls if the store keeps them beside the
 * configuration.
 */
export type StoreUpdate = { readonly document?: StoredDocument; readonly halls?: HallsChange; };
