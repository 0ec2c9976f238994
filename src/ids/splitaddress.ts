/** Splits an address into IP address and port. */

/** Splits `IP:PORT` or `[IP]:PORT`; the port is NaN if there is none. */
export function splitAddress(text: string): { ip: string; port: number; } {
    const colon = text.lastIndexOf(":");
    const ip = text.slice(0, colon).replace(/^\[|\]$/g, "");
    const port = Number(text.slice(colon + 1));
    return { ip, port: colon < 0 ? NaN : port };
}
