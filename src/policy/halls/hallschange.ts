/** A report of the store on evacuated halls: all of them, or changes. */
import type { HallName } from "../../ids/hallname.js";
import type { StorePosition } from "./storeposition.js";

/** With `complete` the store has no other entries; otherwise the report holds the changes since the last response. */
export type HallsChange = {
    readonly position: StorePosition;
    readonly complete: boolean;
    readonly evacuated: readonly HallName[];
    /** Halls whose entries were deleted. */
    readonly ended: readonly HallName[];
    /** Halls whose entries can't be read; their known state stays. */
    readonly unreadable: readonly HallName[];
};
