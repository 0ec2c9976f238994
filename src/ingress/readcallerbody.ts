/** Reads the body of a caller's request, within the memory for bodies, and decides what follows if that fails. */
import type { IncomingMessage } from "node:http";
import { drainBody } from "../http/drainbody.js";
import { isUnread } from "../http/isunread.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import { bodyMemoryRetryAfterMs } from "../policy/admission/bodymemoryretryafterms.js";
import { BodyError } from "./bodyerror.js";
import type { CallerResponse } from "./callerresponse.js";
import { expectedBodyBytes } from "./expectedbodybytes.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import { readBody } from "./readbody.js";
import type { RequestLog } from "./requestlog.js";
import type { RequestRefusal } from "./requestrefusal.js";

/** A body; `release` must be called when it is not needed any more. */
type HeldBody = { readonly body: OutgoingRequest["body"]; readonly release: () => void; };

/** The request that the body belongs to, and its limits. */
type BodyContext = {
    readonly limits: Parameters<typeof readBody>[1];
    readonly memory: BodyMemory;
    readonly response: CallerResponse;
    readonly log: RequestLog;
};

/** Used for requests without a body, for which nothing is reserved. */
const NO_RESERVATION = { resize: (): void => {}, release: (): void => {} };

/** Reads what no attempt has read: a caller may read the response only after it has sent the whole body. */
const discardBody = ({ content }: HeldBody["body"], { release }: Pick<HeldBody, "release">): void => {
    release();
    if (isUnread(content)) {
        drainBody(content);
    }
};

/** Returns the body, the refusal to send, or undefined if the body is incomplete since its caller has left. */
export async function readCallerBody(
    req: IncomingMessage,
    { limits, memory, response, log }: BodyContext,
): Promise<HeldBody | RequestRefusal | undefined> {
    const bytes = expectedBodyBytes(req, limits.keepBytes);
    const reservation = bytes === 0 ? NO_RESERVATION : memory.reserve(bytes);
    if (reservation === undefined) {
        log.noBodyMemory(bytes, memory.heldBytes);
        const detail = `${bytes} bytes`;
        return { type: "refusal", problem: "body-memory", detail, retryAfterMs: bodyMemoryRetryAfterMs };
    }
    try {
        const body = await readBody(req, limits);
        if (Buffer.isBuffer(body.content)) {
            reservation.resize(body.content.length);
        }
        return { body, release: () => discardBody(body, reservation) };
    }
    catch (err) {
        reservation.release();
        if (err instanceof BodyError && err.tooLarge) {
            response.closeConnectionAfter();
            return { type: "refusal", problem: "body-too-large", detail: `at most ${limits.maxBytes} bytes` };
        }
        response.destroy();
        return undefined;
    }
}
