/**
 * Finds out whether a caller that has shut down its sending side still reads, or has closed its connection.
 *
 * Both look the same until something is sent: a closed connection then answers with a reset. The first characters of
 * every response are the same, so the probe sends them one at a time and removes them from the response that follows.
 * A reset is noticed at the next write, therefore at least two characters are sent.
 */
import type { Socket } from "node:net";

/** The beginning of every response; one character is sent with each probe. */
const PROBE_TEXT = "HTTP/1";
/**
 * The times between the probes, one less than there are characters. The first are longer than the round trip to a caller
 * on this host.
 */
const PROBE_INTERVALS_MS = [10, 20, 70, 100, 100];
/**
 * This character is written after the reset that an earlier one causes, and fails, also if the round trip is the longest
 * to any caller whose leaving must be noticed.
 */
const DECISIVE_COUNT = 4;

/** Probes one connection; `start` may be called once, and only while no response has begun on it. */
export class DisconnectProbe {
    #sent = 0;
    #timer: NodeJS.Timeout | undefined;
    #isDecided = false;
    #decide: () => void = () => {};
    /** Resolves when the caller has left, or is known to read, or when a response has begun. */
    readonly decided = new Promise<void>(resolve => this.#decide = resolve);

    /** `mayProbe` returns false once a response has begun, which ends the probing. */
    constructor(private readonly socket: Socket, private readonly mayProbe: () => boolean) {}

    /** True once `decided` has resolved. */
    get isDecided(): boolean {
        return this.#isDecided;
    }

    start(): void {
        if (this.socket.destroyed || !this.mayProbe()) {
            this.#end();
            return;
        }
        this.#sendNext();
        const intervalMs = PROBE_INTERVALS_MS[this.#sent - 1];
        if (intervalMs !== undefined) {
            this.#timer = setTimeout(() => this.start(), intervalMs);
        }
    }

    stop(): void {
        clearTimeout(this.#timer);
        this.#end();
    }

    #end(): void {
        this.#isDecided = true;
        this.#decide();
    }

    #sendNext(): void {
        const { socket } = this;
        if (this.#sent === 0) {
            this.#removeFromNextWrite();
        }
        const isDecisive = this.#sent + 1 === DECISIVE_COUNT;
        const onWritten = (err?: Error | null): void => {
            // A failed write closes the connection, which stops the probe.
            if (isDecisive && !(err instanceof Error)) {
                this.#end();
            }
        };
        Object.getPrototypeOf(socket).write.call(socket, PROBE_TEXT.charAt(this.#sent), onWritten);
        this.#sent += 1;
    }

    /** Shadows the socket's `write` until the response begins. */
    #removeFromNextWrite(): void {
        const { socket } = this;
        const writeFirst = (chunk: string | Buffer, ...rest: []): boolean => {
            Reflect.deleteProperty(socket, "write");
            const sent = this.#sent;
            // The next response on the connection begins with its first character.
            this.#sent = 0;
            return socket.write(typeof chunk === "string" ? chunk.slice(sent) : chunk.subarray(sent), ...rest);
        };
        socket.write = writeFirst as Socket["write"];
    }
}
