/** Pauses the reading of one caller's socket. */
import type { Socket } from "node:net";

/** A paused connection is read again after this time, since a caller's leaving shows only when its socket is read. */
const READ_PAUSE_MS = 200;

/** Owns whether the socket is paused. */
export class ReadPause {
    #isPaused = false;
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly socket: Socket) {}

    get isPaused(): boolean {
        return this.#isPaused;
    }

    /** Stops reading, with `isTemporary` only for a moment. */
    pause(isTemporary: boolean): void {
        this.#isPaused = true;
        this.socket.on("resume", this.#keepPaused);
        this.socket.pause();
        if (isTemporary) {
            this.#timer = setTimeout(() => this.resume(), READ_PAUSE_MS);
        }
    }

    /** Reads again; does nothing if reading is not paused. */
    resume(): void {
        if (this.#isPaused) {
            this.#isPaused = false;
            clearTimeout(this.#timer);
            this.socket.off("resume", this.#keepPaused);
            this.socket.resume();
        }
    }

    /** Releases the timer when the socket is closed. */
    end(): void {
        clearTimeout(this.#timer);
    }

    /** Node's HTTP server resumes its socket whenever a request was parsed or its body is read. */
    readonly #keepPaused = (): void => void this.socket.pause();
}
