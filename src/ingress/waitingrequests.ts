/**
 * Keeps the requests of one connection that were parsed and can't be accepted yet, and bounds how many are parsed.
 *
 * Owns the pauses in reading the connection for that purpose.
 */
import type { Socket } from "node:net";
import type { ParsedRequest } from "./parsedrequest.js";
import { ReadPause } from "./readpause.js";

/** Requests that are parsed beyond the accepted ones before reading stops for good. */
const MAX_PARSED_AHEAD = 256;

/** In the order of their arrival. */
export class WaitingRequests {
    readonly #requests: ParsedRequest[] = [];
    readonly #reading: ReadPause;
    #droppedCount = 0;

    /** `onDropped` is called for each request that will not be accepted. */
    constructor(socket: Socket, private readonly onDropped: () => void) {
        this.#reading = new ReadPause(socket);
    }

    get count(): number {
        return this.#requests.length;
    }

    /** Adds a request; the connection is read only now and then until there is none. */
    add(request: ParsedRequest): void {
        this.#requests.push(request);
        this.#pause();
    }

    /** Returns the first request, which is not kept any more; there must be one. */
    take(): ParsedRequest {
        return this.#requests.shift()!;
    }

    /** Reads on if no request waits. */
    readIfEmpty(): void {
        if (this.#requests.length === 0) {
            this.#reading.resume();
        }
    }

    /**
     * Drops all requests and reads on: unread data would make the system reset the connection when it is closed, and
     * discard the last response.
     */
    dropAll(): void {
        this.#requests.splice(0).forEach(() => this.#countDropped());
        this.#reading.resume();
    }

    /** Drops a request that was parsed after the others were dropped. */
    dropNext(): void {
        this.#countDropped();
        if (this.#droppedCount >= MAX_PARSED_AHEAD) {
            this.#pause();
        }
    }

    /** Forgets all requests when the connection has ended. */
    end(): void {
        this.#requests.length = 0;
        this.#reading.end();
    }

    #countDropped(): void {
        this.#droppedCount += 1;
        this.onDropped();
    }

    #pause(): void {
        if (!this.#reading.isPaused) {
            this.#reading.pause(this.#requests.length + this.#droppedCount < MAX_PARSED_AHEAD);
        }
    }
}
