/** Starts a listener. */
import type { Server } from "node:net";
import { splitAddress } from "../ids/splitaddress.js";

/** Listens at `IP:PORT`; rejects when the address can't be had. */
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
