/** Waits for a promise with a time limit. */

/** Resolves to true if the promise has not settled after `afterMs` milliseconds, and to false as soon as it settles. */
export function isOverdue(promise: Promise<unknown>, afterMs: number): Promise<boolean> {
    return new Promise(resolve => {
        const timer = setTimeout(() => resolve(true), afterMs);
        void promise.finally(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });
}
