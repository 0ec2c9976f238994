/** The socket for datagrams: msgpack, sealed with the daemons' key, under a hard budget. */
import { pack, unpack } from "msgpackr";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import type { Address } from "../ids/address.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { Metrics } from "../metrics/metrics.js";
import { TokenBucket } from "../policy/tokenbucket.js";
import type { Clock } from "../time/clock.js";
import { Message } from "./message.js";

const SEAL_BYTES = 8;
/** IPv4 and UDP headers, counted as sent. */
const HEADER_BYTES = 28;
const MAX_BYTES = 1400;
/** The rest of the budget is for the store, for pulling the configuration, and for health. */
const DATAGRAM_SHARE = 0.75;

/** `bytesPerSecond` is never passed in any second; what does not fit is not sent. */
type DatagramOptions = {
    readonly key: string;
    readonly clock: Clock;
    readonly bytesPerSecond: number;
    readonly metrics: Metrics;
};

/** Kept for answers to pings: a daemon that is busy must not look dead. */
const ANSWER_SHARE = 0.4;

const SPENT_FOR = {
    beat: "beat",
    ping: "ping",
    pong: "ping",
    load: "load",
    leave: "load",
    hello: "beat",
    member: "beat",
    going: "beat",
    need: "relief",
    offer: "relief",
} as const;

/** Sends and receives messages; what is not sealed or can't be read is dropped. */
export class Datagrams {
    readonly #socket: Socket;
    readonly #bucket: TokenBucket;
    readonly #answers: TokenBucket;

    constructor(private readonly options: DatagramOptions, private readonly receive: (message: Message) => void) {
        const half = options.bytesPerSecond * DATAGRAM_SHARE / 2;
        const answers = half * ANSWER_SHARE;
        this.#bucket = new TokenBucket(half - answers, half - answers, options.clock());
        this.#answers = new TokenBucket(answers, answers, options.clock());
        this.#socket = createSocket("udp4");
        this.#socket.on("message", data => this.#take(data));
        this.#socket.on("error", () => {});
    }

    bind(address: Address): Promise<void> {
        const { ip, port } = splitAddress(address);
        return new Promise((resolve, reject) => {
            this.#socket.once("error", reject);
            this.#socket.bind(port, ip, () => {
                this.#socket.removeListener("error", reject);
                resolve();
            });
        });
    }

    /** Sends a message; false when the budget forbids it. */
    send(to: Address, message: Message): boolean {
        const body = pack(message);
        const bytes = body.length + SEAL_BYTES + HEADER_BYTES;
        const bucket = message.type === "pong" ? this.#answers : this.#bucket;
        if (body.length > MAX_BYTES || !bucket.spend(bytes, this.options.clock())) {
            return false;
        }
        const { ip, port } = splitAddress(to);
        this.#socket.send([this.#seal(body), body], port, ip, () => {});
        this.options.metrics.spent(SPENT_FOR[message.type], bytes);
        return true;
    }

    close(): void {
        this.#socket.close();
    }

    #take(data: Buffer): void {
        const message = this.#open(data);
        if (message !== undefined) {
            this.receive(message);
        }
    }

    #open(data: Buffer): Message | undefined {
        const seal = data.subarray(0, SEAL_BYTES);
        const body = data.subarray(SEAL_BYTES);
        if (body.length === 0 || !timingSafeEqual(seal, this.#seal(body))) {
            return undefined;
        }
        try {
            return Message.safeParse(unpack(body)).data;
        }
        catch {
            return undefined;
        }
    }

    #seal(body: Buffer): Buffer {
        return createHmac("sha256", this.options.key).update(body).digest().subarray(0, SEAL_BYTES);
    }
}
