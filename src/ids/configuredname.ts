/** Defines the names that a stored configuration gives to its parts. */
import { z } from "zod";

/** Printable ASCII, as in a header field, without a blank at either end. */
export const ConfiguredName = z.string().regex(
    /^[!-~](?:[ -~]{0,251}[!-~])?$/,
    "must be 1 to 253 printable ASCII characters, without a blank at either end",
);
