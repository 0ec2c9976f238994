/** Defines the result of a watch or a stale read of the store. */
import type { HallsChange } from "../policy/halls/hallschange.js";
import type { VersionedValue } from "./versionedvalue.js";

/**
 * `document` is the configuration if it has changed. `invalid` is the error of a changed configuration that the store's
 * client could not decode; there is no `document` then. `halls` are the evacuated halls if the store keeps them beside
 * the configuration.
 */
export type StoreUpdate = {
    readonly document?: VersionedValue;
    readonly invalid?: unknown;
    readonly halls?: HallsChange;
};
