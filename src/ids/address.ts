/** Defines the address at which a process listens: an IP address and a port. */
import { isIP } from "node:net";
import { z } from "zod";
import { splitAddress } from "./splitaddress.js";

/** The largest 16-bit number. */
const MAX_PORT = 65535;

const isAddress = (text: string): boolean => {
    const { ip, port } = splitAddress(text);
    return isIP(ip) !== 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
};

const Address = z.string().refine(isAddress, "must be IP:PORT").brand("Address");
type Address = z.infer<typeof Address>;

/** `IP:PORT` or `[IP]:PORT`, the latter for IPv6. */
export { Address };
