/** Determines what a caller's connection is doing. */
import type { ConnectionState } from "../policy/connections/connectionstate.js";
import type { ParsedRequest } from "./parsedrequest.js";

/** `first` is the request whose response is due; `hasAnswered` is true if a response was sent before. */
export function connectionStateOf(first: ParsedRequest | undefined, hasAnswered: boolean): ConnectionState {
    if (first === undefined) {
        return hasAnswered ? "idle" : "silent";
    }
    const { req, res } = first;
    if (res.headersSent) {
        return res.writableLength > 0 ? "unread" : "busy";
    }
    return req.complete ? "busy" : "unfinished";
}
