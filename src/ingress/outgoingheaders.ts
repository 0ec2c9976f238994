/** Builds the header fields with which a caller's request is sent to an upstream. */
import type { IncomingMessage } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import { forwardableHeaders } from "../http/forwardableheaders.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { ServiceName } from "../ids/servicename.js";
import type { Plan } from "./plan.js";

type HeaderSource = { readonly dialect: Dialect; readonly callerService: ServiceName | undefined; };

/** Where keys are checked, the key is left out, and the team is the one that the key proves, or none. */
export function outgoingHeaders(
    req: IncomingMessage,
    { identity }: Plan,
    { dialect, callerService }: HeaderSource,
): HttpHeaders {
    const headers = forwardableHeaders(req.headers);
    if (callerService !== undefined) {
        headers[dialect.callerService] = callerService;
    }
    if (identity !== undefined) {
        delete headers[dialect.key];
        delete headers[dialect.team];
        if (identity.statedTeam !== undefined) {
            headers[dialect.team] = identity.statedTeam;
        }
    }
    return headers;
}
