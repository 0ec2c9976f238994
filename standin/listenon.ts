/** Starts a stand-in's listener and reports it to the parent process. */
import type { Server } from "node:net";

/** Listens at `IP:PORT` and prints a line when it does. */
export function listenOn(server: Server, address: string): void {
    const colon = address.lastIndexOf(":");
    server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => console.log("ready"));
}
