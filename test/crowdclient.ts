/** Connects clients that exceed the limits, and keeps their connections open. */
import { connect, type Socket } from "node:net";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";

const INGRESS_PORT = 7104;
const POLL_INTERVAL_MS = 100;
/** Clients have settled when no byte was read from or written to their connections for this time. */
const QUIET_MS = 1500;
/** Bounds the wait until the clients have settled: a daemon may never read what they send. */
const MAX_SETTLE_MS = 30_000;

/** Enough of what a client receives for the status of its first response. */
const KEPT_CHARS = 200;

/** What one client sends, in order; it is sent as fast as the daemon reads. */
type CrowdPayload = (index: number) => readonly Buffer[];

/** `readsResponses` is false for clients that never read from their connections. */
type CrowdOptions = { readonly count: number; readonly payload: CrowdPayload; readonly readsResponses?: boolean; };

/** The clients of one crowd on one host; `close` must be called at the end. */
export class CrowdClient {
    readonly #sockets: Socket[] = [];
    readonly #received: string[] = [];

    constructor(mesh: PlatformMesh, hostName: string, { count, payload, readsResponses = true }: CrowdOptions) {
        const { ip } = mesh.host(hostName);
        for (let index = 0; index < count; index++) {
            const socket = connect({ host: ip, port: INGRESS_PORT, allowHalfOpen: true });
            socket.on("error", () => {
                // The daemon may close the connection at any time.
            });
            if (readsResponses) {
                this.#received[index] = "";
                socket.on("data", (chunk: Buffer) => this.#keep(index, chunk));
                socket.on("end", () => socket.destroy());
            }
            payload(index).forEach(part => socket.write(part));
            this.#sockets.push(socket);
        }
    }

    /** The status of the first response of each client that has received one. */
    get statuses(): readonly number[] {
        return this.#received.flatMap(text => /^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? []).map(Number);
    }

    /** The number of connections that neither side has closed. */
    get openCount(): number {
        return this.#sockets.filter(({ destroyed }) => !destroyed).length;
    }

    /** Resolves when the clients can send no more, since everything was sent or the daemon does not read on. */
    async settle(): Promise<void> {
        let bytes = -1;
        let quietMs = 0;
        for (let waitedMs = 0; quietMs < QUIET_MS && waitedMs < MAX_SETTLE_MS; waitedMs += POLL_INTERVAL_MS) {
            const bytesNow = this.#sockets.reduce(
                (sum, { bytesRead, bytesWritten, writableLength }) => sum + bytesRead + bytesWritten - writableLength,
                0,
            );
            quietMs = bytesNow === bytes ? quietMs + POLL_INTERVAL_MS : 0;
            bytes = bytesNow;
            await pause(POLL_INTERVAL_MS);
        }
    }

    close(): void {
        this.#sockets.forEach(socket => socket.destroy());
    }

    #keep(index: number, chunk: Buffer): void {
        const kept = this.#received[index]!;
        if (kept.length < KEPT_CHARS) {
            this.#received[index] = kept + chunk.toString("latin1", 0, KEPT_CHARS);
        }
    }
}
