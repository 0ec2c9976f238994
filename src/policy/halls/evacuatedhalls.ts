/** The halls that operators have evacuated. */
import type { HallName } from "../../ids/hallname.js";
import type { StorePosition } from "./storeposition.js";

/** The state of the store at the position `mark`. */
export type EvacuatedHalls = { readonly mark: StorePosition; readonly halls: readonly HallName[]; };
