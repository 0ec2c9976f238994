/** Reads the body of a caller's request, and decides what follows if that is not possible. */
import type { IncomingMessage } from "node:http";
import { BodyError } from "./bodyerror.js";
import type { CallerResponse } from "./callerresponse.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import { readBody } from "./readbody.js";
import type { RequestRefusal } from "./requestrefusal.js";

type Body = OutgoingRequest["body"];

/** Returns the body, the refusal to send, or undefined if the body is incomplete since its caller has left. */
export async function readCallerBody(
    req: IncomingMessage,
    limits: Parameters<typeof readBody>[1],
    response: CallerResponse,
): Promise<Body | RequestRefusal | undefined> {
    try {
        return await readBody(req, limits);
    }
    catch (err) {
        if (err instanceof BodyError && err.tooLarge) {
            response.closeConnectionAfter();
            return { type: "refusal", problem: "body-too-large", detail: `at most ${limits.maxBytes} bytes` };
        }
        response.destroy();
        return undefined;
    }
}
