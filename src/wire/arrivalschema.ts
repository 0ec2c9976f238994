/** What an attempt is to its service, as it comes from a peer. */
import { z } from "zod";
import type { Arrival } from "../policy/retry/arrival.js";

/** As policy/retry/arrival.ts describes it. */
export const arrivalSchema = z.enum(["first", "retry", "hedge", "call"] satisfies Arrival[]);
