/** Waits for a fixed time. */

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
