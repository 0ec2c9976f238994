/** Reads a time in milliseconds that an upstream states. */

/** Returns milliseconds, or undefined for anything but a number that is 0 or greater. */
export function readMs(text: string | string[] | undefined): number | undefined {
    const ms = typeof text === "string" && text.trim() !== "" ? Number(text) : NaN;
    return Number.isFinite(ms) && ms >= 0 ? ms : undefined;
}
