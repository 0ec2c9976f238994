/** Stands in for the network link of a host: all its connections share one rate in the direction to the clients. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { TokenBucket } from "../src/policy/tokenbucket.js";
import { processClock } from "../src/time/processclock.js";

/** Bytes that may be sent in one burst; less than a tenth of a second at the rates in use. */
const BURST_BYTES = 16 * 1024;
/** Largest part of one connection's data that is sent before another connection has its turn. */
const SEGMENT_BYTES = 1460;
/** Bytes of a connection that wait for the link before the target is held up. */
const WINDOW_BYTES = 64 * 1024;
const POLL_MS = 5;

type Flow = { readonly client: Socket; readonly target: Socket; waiting: Buffer; };

/** Forwards connections to `targetPort` on loopback. Takes segments of the connections in turn. */
export class SharedLink {
    readonly #bucket: TokenBucket;
    readonly #flows = new Set<Flow>();
    readonly #server: Server;
    readonly #timer: NodeJS.Timeout;
    /** Bytes that were sent to clients. */
    sentBytes = 0;

    constructor(private readonly targetPort: number, bytesPerSecond: number) {
        this.#bucket = new TokenBucket(bytesPerSecond, BURST_BYTES, processClock());
        this.#server = createServer(client => this.#accept(client));
        this.#timer = setInterval(() => this.#sendWaiting(), POLL_MS);
    }

    /** Resolves with the port on loopback at which the link accepts connections. */
    async listen(): Promise<number> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return (this.#server.address() as { readonly port: number; }).port;
    }

    close(): void {
        clearInterval(this.#timer);
        this.#server.close();
        this.#flows.forEach(({ client, target }) => {
            client.destroy();
            target.destroy();
        });
    }

    #accept(client: Socket): void {
        const target = connect(this.targetPort, "127.0.0.1");
        const flow: Flow = { client, target, waiting: Buffer.alloc(0) };
        this.#flows.add(flow);
        client.pipe(target);
        target.on("data", data => this.#enqueue(flow, data));
        const end = (): void => {
            this.#flows.delete(flow);
            client.destroy();
            target.destroy();
        };
        client.on("close", end).on("error", end);
        target.on("close", end).on("error", end);
    }

    #enqueue(flow: Flow, data: Buffer): void {
        flow.waiting = Buffer.concat([flow.waiting, data]);
        if (flow.waiting.length > WINDOW_BYTES) {
            flow.target.pause();
        }
    }

    #sendWaiting(): void {
        for (let isSending = true; isSending;) {
            isSending = false;
            for (const flow of this.#flows) {
                isSending = this.#sendSegment(flow) || isSending;
            }
        }
    }

    #sendSegment(flow: Flow): boolean {
        const segment = flow.waiting.subarray(0, SEGMENT_BYTES);
        if (segment.length === 0 || !this.#bucket.spend(segment.length, processClock())) {
            return false;
        }
        flow.waiting = flow.waiting.subarray(segment.length);
        flow.client.write(segment);
        this.sentBytes += segment.length;
        if (flow.waiting.length <= WINDOW_BYTES) {
            flow.target.resume();
        }
        return true;
    }
}
