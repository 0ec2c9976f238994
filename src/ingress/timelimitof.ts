/** Reads the time limit that a caller gives. */

/** Returns milliseconds, or Infinity if the caller gives no time limit or an unreadable one. */
export function timeLimitOf(text: string | string[] | undefined): number {
    if (typeof text !== "string" || !/^\d{1,12}(\.\d{1,6})?$/.test(text)) {
        return Infinity;
    }
    return Number(text);
}
