/** Reads how long a caller will wait. */

/** Milliseconds; Infinity where the caller gives none, or none that can be read. */
export function timeLimitOf(text: string | string[] | undefined): number {
    if (typeof text !== "string" || !/^\d{1,12}(\.\d{1,6})?$/.test(text)) {
        return Infinity;
    }
    return Number(text);
}
