/**
 * Sends and receives the datagrams between daemons.
 *
 * Messages are encoded with msgpack and authenticated with the key that the daemons share. The bytes sent are limited.
 */
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

/** Length of the truncated HMAC-SHA-256 tag; long enough because the key changes with each deployment. */
const TAG_BYTES = 8;
/** Length of the IPv4 and UDP headers, which count as bytes sent. */
const HEADER_BYTES = 28;
/** Longest encoded message; fits into an Ethernet frame without fragmentation. */
const MAX_MESSAGE_BYTES = 1400;
/** Share of the byte limit for datagrams; the rest is for the store, configuration pulls and health checks. */
const DATAGRAM_SHARE = 0.75;

type DatagramOptions = {
    readonly key: string;
    readonly clock: Clock;
    /** Limit that is not exceeded in any second; a datagram beyond it is not sent. */
    readonly bytesPerSecond: number;
    readonly metrics: Metrics;
    /** Called for each datagram that is sent or received, with the peer's IP address and the bytes. */
    readonly onMessage?: (direction: "sent" | "received", ip: string, bytes: number) => void;
};

/** Share of the datagrams' limit that is reserved for pongs, so that a busy daemon is not taken for unresponsive. */
const PONG_SHARE = 0.4;

/** Label under which the metrics count each type of message. */
const SPENDING_BY_TYPE = {
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
    "quota-ask": "quota",
    "quota-answer": "quota",
} as const;

/** Sends and receives messages; drops datagrams with a wrong tag or an invalid message. */
export class DatagramSocket {
    readonly #socket: Socket;
    readonly #bucket: TokenBucket;
    readonly #pongBucket: TokenBucket;
    #quotaBucket: TokenBucket | undefined;

    constructor(private readonly options: DatagramOptions) {
        // A token bucket allows its rate plus its burst in one second, so each of them gets half of the limit.
        const rate = options.bytesPerSecond * DATAGRAM_SHARE / 2;
        const pongRate = rate * PONG_SHARE;
        this.#bucket = new TokenBucket(rate - pongRate, rate - pongRate, options.clock());
        this.#pongBucket = new TokenBucket(pongRate, pongRate, options.clock());
        this.#socket = createSocket("udp4");
        this.#socket.on("error", err => logger.warn("The datagram socket failed.", err));
    }

    /** Binds the socket, and calls `receive` with each authenticated, valid message. */
    bind(address: Address, receive: (message: Message) => void): Promise<void> {
        const { ip, port } = splitAddress(address);
        this.#socket.on("message", (data, { address: from }) => {
            this.options.onMessage?.("received", from, data.length + HEADER_BYTES);
            this.#onDatagram(data, receive);
        });
        return new Promise((resolve, reject) => {
            this.#socket.once("error", reject);
            this.#socket.bind(port, ip, () => {
                this.#socket.removeListener("error", reject);
                resolve();
            });
        });
    }

    /** Sends a message; returns false, and sends nothing, if it is too long or exceeds the byte limit. */
    send(to: Address, message: Message): boolean {
        const body = pack(message);
        const bytes = body.length + TAG_BYTES + HEADER_BYTES;
        const bucket = this.#bucketFor(message);
        if (body.length > MAX_MESSAGE_BYTES || !bucket.spend(bytes, this.options.clock())) {
            return false;
        }
        const { ip, port } = splitAddress(to);
        this.#socket.send([this.#computeTag(body), body], port, ip, err => this.#onSent(to, err));
        this.options.onMessage?.("sent", ip, bytes);
        this.options.metrics.countControlTraffic(SPENDING_BY_TYPE[message.type], bytes);
        return true;
    }

    /**
     * Allows messages on quotas, up to a limit of their own that is as large as that of all other control traffic: they
     * grow with the callers' requests, and a caller waits for each of them. With a part of the common limit they were
     * dropped in bursts, and requests below the limits of their teams were refused. Called when the document has a team
     * with a rate.
     */
    reserveForQuota(): void {
        const rate = this.options.bytesPerSecond / 2;
        this.#quotaBucket ??= new TokenBucket(rate, rate, this.options.clock());
    }

    #bucketFor({ type }: Message): TokenBucket {
        if (type === "pong") {
            return this.#pongBucket;
        }
        const isQuota = type === "quota-ask" || type === "quota-answer";
        return isQuota && this.#quotaBucket !== undefined ? this.#quotaBucket : this.#bucket;
    }

    #onSent(to: Address, err: Error | null): void {
        if (err !== null) {
            logger.warn("Could not send a datagram; the message is lost.", err, { peer: to });
        }
    }

    close(): void {
        this.#socket.close();
    }

    /** Drops a datagram with a wrong tag without logging it, because anyone can send one. */
    #onDatagram(data: Buffer, receive: (message: Message) => void): void {
        const tag = data.subarray(0, TAG_BYTES);
        const body = data.subarray(TAG_BYTES);
        const message = body.length > 0 && timingSafeEqual(tag, this.#computeTag(body)) ? this.#parse(body) : undefined;
        if (message !== undefined) {
            receive(message);
        }
    }

    /** Decodes a message; returns undefined for an invalid one, which a peer of another version may send. */
    #parse(body: Buffer): Message | undefined {
        try {
            return Message.parse(unpack(body));
        }
        catch (err) {
            logger.warn("Could not decode a datagram from a peer; it is dropped.", err);
            return undefined;
        }
    }

    #computeTag(body: Buffer): Buffer {
        return createHmac("sha256", this.options.key).update(body).digest().subarray(0, TAG_BYTES);
    }
}
