/** Distinguishes errors of establishing a connection from later ones. */

/** Error codes of undici and Node.js from before a connection is established, so that nothing was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Returns true if the error proves that no byte of the request was sent. */
export function isConnectError(err: unknown): boolean {
    const { code, syscall } = err as { code?: string; syscall?: string; };
    return syscall === "connect" || (code !== undefined && CONNECT_ERROR_CODES.has(code));
}
