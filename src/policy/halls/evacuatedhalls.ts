/** The halls that operators have evacuated. */
import type { HallName } from "../../ids/hallname.js";
import type { StoreMark } from "./storemark.js";

/** The state of the store at the position `mark`. */
export type EvacuatedHalls = { readonly mark: StoreMark; readonly halls: readonly HallName[]; };
