/** The socket for datagrams: msgpack, sealed with the daemons' key, under a hard budget. */
import { pack, unpack } from "msgpackr";
import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import type { Address } from "../ids/address.js";
import { splitAddress } from "../ids/splitaddress.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import { TokenBucket } from "../policy/tokenbucket.js";
import type { Clock } from "../time/clock.js";
import { Message } from "./message.js";

const logger = log("peer");

/** Of a SHA-256 code: enough for a key that changes with each deployment. */
const SEAL_BYTES = 8;
/** IPv4 and UDP headers, counted as sent. */
const HEADER_BYTES = 28;
/** Fits an Ethernet frame unfragmented. */
const MAX_BYTES = 1400;
/** Of the budget; the rest is for the store, for pulling the configuration, and for health. */
const DATAGRAM_SHARE = 0.75;

/** `bytesPerSecond` is never passed in any second; what does not fit is not sent. */
type DatagramOptions = {
    readonly key: string;
    readonly clock: Clock;
    readonly bytesPerSecond: number;
    readonly metrics: Metrics;
};

/** Of the part for sending, kept for answers to pings: a daemon that is busy must not look dead. */
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
    crash: "beat",
    need: "relief",
    offer: "relief",
} as const;

/** Sends and receives messages; what is not sealed or can't be read is dropped. */
export class Datagrams {
    readonly #socket: Socket;
    readonly #bucket: TokenBucket;
    readonly #answers: TokenBucket;

    constructor(private readonly options: DatagramOptions) {
        const half = options.bytesPerSecond * DATAGRAM_SHARE / 2;
        const answers = half * ANSWER_SHARE;
        this.#bucket = new TokenBucket(half - answers, half - answers, options.clock());
        this.#answers = new TokenBucket(answers, answers, options.clock());
        this.#socket = createSocket("udp4");
        this.#socket.on("error", err => logger.warn("The socket for datagrams failed.", err));
    }

    /** Listens; `receive` is called with each message that is sealed and can be read. */
    bind(address: Address, receive: (message: Message) => void): Promise<void> {
        const { ip, port } = splitAddress(address);
        this.#socket.on("message", data => this.#open(data, receive));
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
        this.#socket.send([this.#seal(body), body], port, ip, err => this.#onSent(to, err));
        this.options.metrics.spent(SPENT_FOR[message.type], bytes);
        return true;
    }

    #onSent(to: Address, err: Error | null): void {
        if (err !== null) {
            logger.warn("A datagram could not be sent.", err, { peer: to });
        }
    }

    close(): void {
        this.#socket.close();
    }

    /** A datagram with a wrong seal is dropped without a log line: anyone may send one. */
    #open(data: Buffer, receive: (message: Message) => void): void {
        const seal = data.subarray(0, SEAL_BYTES);
        const body = data.subarray(SEAL_BYTES);
        const message = body.length > 0 && timingSafeEqual(seal, this.#seal(body)) ? this.#read(body) : undefined;
        if (message !== undefined) {
            receive(message);
        }
    }

    /** A peer of another version may send what is not known here. */
    #read(body: Buffer): Message | undefined {
        try {
            return Message.parse(unpack(body));
        }
        catch (err) {
            logger.warn("A datagram of a peer can't be read.", err);
            return undefined;
        }
    }

    #seal(body: Buffer): Buffer {
        return createHmac("sha256", this.options.key).update(body).digest().subarray(0, SEAL_BYTES);
    }
}
