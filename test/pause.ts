/** Waits. */

/** Resolves after the time, in milliseconds. */
export function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
