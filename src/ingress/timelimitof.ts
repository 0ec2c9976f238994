/** How long a caller says that it will wait. */

/** Milliseconds; without end for one that says nothing, or nothing that can be read. */
export function timeLimitOf(text: string | string[] | undefined): number {
    if (typeof text !== "string" || !/^\d{1,12}(\.\d{1,6})?$/.test(text)) {
        return Infinity;
    }
    return Number(text);
}
