/** Reads the body of a caller's request, within the memory for bodies, and decides what follows if that fails. */
import type { IncomingMessage } from "node:http";
import { drainBody } from "../http/drainbody.js";
import { isUnread } from "../http/isunread.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import { bodyMemoryRetryAfterMs } from "../policy/admission/bodymemoryretryafterms.js";
import type { Clock } from "../time/clock.js";
import type { BodyLimits } from "./bodylimits.js";
import { CallerBody } from "./callerbody.js";
import type { CallerResponse } from "./callerresponse.js";
import type { CollectedBody } from "./collectedbody.js";
import { hasBody } from "./hasbody.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import type { RequestLog } from "./requestlog.js";
import type { RequestRefusal } from "./requestrefusal.js";

/** A body; `release` must be called when it is not needed any more. */
type HeldBody = { readonly body: OutgoingRequest["body"]; readonly release: () => void; };

/** The request that the body belongs to, and its limits. */
type BodyContext = {
    readonly clock: Clock;
    readonly limits: BodyLimits;
    readonly memory: BodyMemory;
    readonly response: CallerResponse;
    readonly log: RequestLog;
    /** A body that is unfinished at this time, in milliseconds on the clock, is refused. */
    readonly deadline: number;
};

type FailedType = Exclude<CollectedBody["type"], "whole" | "long" | "incomplete">;

const NO_BODY: HeldBody = { body: { content: undefined, kept: true }, release: () => {} };

/** Reads what no attempt has read: a caller may read the response only after it has sent the whole body. */
const discardBody = ({ content }: HeldBody["body"], collected: CallerBody): void => {
    collected.release();
    if (isUnread(content)) {
        drainBody(content);
    }
};

/** The caller of an unfinished body can't send another request on its connection. */
const refuse = (type: FailedType, body: CallerBody, context: BodyContext): RequestRefusal => {
    const { limits, memory, response, log } = context;
    switch (type) {
        case "too-large":
            response.closeConnectionAfter();
            return { type: "refusal", problem: "body-too-large", detail: `at most ${limits.maxBytes} bytes` };
        case "timeout":
            log.bodyUnfinished("deadline", body.receivedBytes);
            response.closeConnectionAfter();
            return { type: "refusal", problem: "body-timeout", detail: `${body.receivedBytes} bytes were received` };
        case "evicted":
            log.bodyUnfinished("evicted", body.receivedBytes);
            response.closeConnectionAfter();
            break;
        case "no-memory":
            log.noBodyMemory(body.receivedBytes, memory.heldBytes);
    }
    const detail = `${body.receivedBytes} bytes were received`;
    return { type: "refusal", problem: "body-memory", detail, retryAfterMs: bodyMemoryRetryAfterMs };
};

/** Returns the body, the refusal to send, or undefined if the body is incomplete since its caller has left. */
export async function readCallerBody(
    req: IncomingMessage,
    context: BodyContext,
): Promise<HeldBody | RequestRefusal | undefined> {
    if (!hasBody(req)) {
        return NO_BODY;
    }
    const callerBody = new CallerBody(req, context);
    const collected = await callerBody.collect(context.deadline);
    switch (collected.type) {
        case "whole": {
            const body = { content: collected.bytes, kept: true };
            return { body, release: () => discardBody(body, callerBody) };
        }
        case "long": {
            const body = { content: collected.stream, kept: false };
            return { body, release: () => discardBody(body, callerBody) };
        }
        case "incomplete":
            context.response.destroy();
            return undefined;
        default:
            return refuse(collected.type, callerBody, context);
    }
}
