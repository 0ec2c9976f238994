/** Tells an error before sending from one after. */

/** Errors of undici and Node that come before a connection is established, so that nothing was sent. */
const BEFORE_SENDING: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** True when the error proves that no byte of the request was sent. */
export function isConnectError(err: unknown): boolean {
    const { code, syscall } = err as { code?: string; syscall?: string; };
    return syscall === "connect" || (code !== undefined && BEFORE_SENDING.has(code));
}
