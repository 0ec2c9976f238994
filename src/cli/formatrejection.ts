/** Formats the rejection of the stored configuration for the status. */
import type { Rejection } from "../gen/winglock/operator/v1/operator_pb.js";

const MS_PER_SECOND = 1000;

/** Returns a line on the duration, then one for each invalid field. */
export function formatRejection({ fields, ageMs }: Rejection): string {
    const seconds = Math.round(Number(ageMs) / MS_PER_SECOND);
    return [`the stored configuration has been rejected for ${seconds} s:`, ...fields].join("\n    ");
}
