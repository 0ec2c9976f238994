/** Waits for something, but not for long. */

/** Resolves true when `afterMs` milliseconds pass before the promise has settled. */
export function isOverdue(promise: Promise<unknown>, afterMs: number): Promise<boolean> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(true), afterMs);
        void promise.finally(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });
}
