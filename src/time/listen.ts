/** Starts a server. */
import type { Server } from "node:net";
import { splitAddress } from "../ids/splitaddress.js";

/** Listens on `IP:PORT`; rejects if the address is not available. */
export function listen(server: Server, address: string): Promise<void> {
    const { ip, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, ip, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
}
