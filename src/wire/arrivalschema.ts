/** Validates an attempt's arrival type received from a peer. */
import { z } from "zod";
import type { Arrival } from "../policy/retry/arrival.js";

/** The values that policy/retry/arrival.ts describes. */
export const arrivalSchema = z.enum(["first", "retry", "hedge", "call"] satisfies Arrival[]);
