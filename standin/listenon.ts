/** Starts the listener of a stand-in and reports to the parent process when it is ready. */
import type { Server } from "node:net";

/** Listens at `IP:PORT`, and prints `ready` once the listener is open. */
export function listenOn(server: Server, address: string): void {
    const colon = address.lastIndexOf(":");
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => console.log("ready"));
}
