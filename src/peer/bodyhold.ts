/** Reserves memory for the body of a peer's request, from its arrival to the response. */
import type { Readable } from "node:stream";
import { HopError } from "../hop/hoperror.js";
import type { ServedCall } from "../link/servedcall.js";
import { log } from "../log/log.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";

const logger = log("peer");

/** The part of a streamed body that is held at a time: the buffers of its streams, with a frame in each. */
const STREAMED_BYTES = 128 * 1024;

/** Owns the reservation of one request. */
export class BodyHold {
    /** Asks the peer for the body; rejects with a HopError if there is no memory for it. */
    readonly fetchBody: (() => Promise<Buffer | Readable>) | undefined;
    #reservation: ReturnType<BodyMemory["reserve"]>;

    constructor(private readonly call: ServedCall, private readonly memory: BodyMemory) {
        const { fetchBody, bodySize } = call;
        this.fetchBody = fetchBody && (async () => {
            this.#reserve(bodySize ?? STREAMED_BYTES);
            return await fetchBody();
        });
    }

    /** Reserves memory for a body that arrived with its request; throws a HopError if there is none. */
    reserveReceived(): void {
        const { body } = this.call;
        if (body !== undefined) {
            this.#reserve(Buffer.isBuffer(body) ? body.length : STREAMED_BYTES);
        }
    }

    release(): void {
        this.#reservation?.release();
    }

    #reserve(bytes: number): void {
        const { heldBytes, maxBytes } = this.memory;
        this.#reservation = this.memory.reserve(bytes);
        if (this.#reservation === undefined) {
            const { id, upstream } = this.call.head;
            const fields = { upstream, bytes, heldBytes, maxBytes };
            logger.failure(id, "Refused a peer's request: there is no memory for its body.", fields);
            throw new HopError("not-run", "body-memory");
        }
    }
}
