/**
 * Asks the sender of a request for its body, once the request has a slot.
 *
 * The slot stays taken meanwhile, so the wait is bounded. A request whose body does not arrive has not run: the ledger
 * has a tombstone of it.
 */
import type { Readable } from "node:stream";
import type { Dialect } from "../dialect/dialect.js";
import { requestKeyOf } from "../dialect/requestkeyof.js";
import type { GateCall } from "../hop/gatecall.js";
import { HopError } from "../hop/hoperror.js";
import type { RequestKey } from "../ids/requestkey.js";
import { log } from "../log/log.js";
import { bodyMemoryRetryAfterMs } from "../policy/admission/bodymemoryretryafterms.js";
import type { Reason } from "../policy/retry/reason.js";
import type { Clock } from "../time/clock.js";
import type { GateRefusals } from "./gaterefusals.js";
import type { GateRequest } from "./gaterequest.js";
import type { SlotQueue } from "./slotqueue.js";

const logger = log("gate");

/** A body of the kept size takes less than this over the slowest known link; the slot is free again afterwards. */
const MAX_BODY_WAIT_MS = 2000;

/** Dependencies that the gate provides. */
type ReceiverDependencies = {
    readonly clock: Clock;
    readonly dialect: Dialect;
    readonly queue: SlotQueue;
    readonly refusals: GateRefusals;
};

/** Rejects if the body has not arrived when the time has passed. */
const withinMs = async (body: Promise<Buffer | Readable>, limitMs: number): Promise<Buffer | Readable> => {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => reject(new Error(`the body did not arrive within ${limitMs} ms`)), limitMs);
    });
    try {
        return await Promise.race([body, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
};

/** Receives the bodies of one gate's requests. */
export class BodyReceiver {
    constructor(private readonly deps: ReceiverDependencies) {}

    /** Returns the key of a request, or undefined while its body has not been received. */
    keyOf(call: GateCall): RequestKey | undefined {
        return call.fetchBody === undefined ? requestKeyOf(call, this.deps.dialect) : undefined;
    }

    /** Resolves when the request has its body; frees its slot and throws a HopError if the body does not arrive. */
    async receive(request: GateRequest): Promise<void> {
        const { clock, dialect } = this.deps;
        const { fetchBody } = request.call;
        if (fetchBody === undefined) {
            return;
        }
        try {
            const limitMs = Math.max(0, Math.min(MAX_BODY_WAIT_MS, request.deadline - clock()));
            const body = await withinMs(fetchBody(), limitMs);
            request.setBody(body, requestKeyOf({ ...request.call, body }, dialect));
        }
        catch (err) {
            throw this.#refuse(request, err);
        }
    }

    #refuse(request: GateRequest, err: unknown): HopError {
        const { queue, refusals } = this.deps;
        const { cancel, head: { id, upstream } } = request.call;
        queue.releaseUnused(request);
        if (err instanceof HopError) {
            return refusals.create(err.reason, { retryAfterMs: bodyMemoryRetryAfterMs });
        }
        const reason: Reason = cancel.aborted ? "caller-left" : "body-missing";
        if (reason === "body-missing") {
            logger.warn("The body of a request with a slot did not arrive; it is refused.", err, { try: id, upstream });
        }
        return refusals.create(reason);
    }
}
