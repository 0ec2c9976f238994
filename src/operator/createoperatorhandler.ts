/** The operators' calls over HTTP. */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { OperatorApi } from "./operatorapi.js";
import { operatorRoutes } from "./operatorroutes.js";

/** A whole configuration, four times. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Serves the calls of the schema; takes an HTTP request that is one. */
export function createOperatorHandler(api: OperatorApi): (req: IncomingMessage, res: ServerResponse) => void {
    return connectNodeAdapter({ routes: operatorRoutes(api), readMaxBytes: MAX_MESSAGE_BYTES });
}
