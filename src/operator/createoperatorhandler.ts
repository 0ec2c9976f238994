/** Serves the operators' calls over HTTP. */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { OperatorApi } from "./operatorapi.js";
import { operatorRoutes } from "./operatorroutes.js";

/** Four times the size of the largest configuration. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Returns a handler for the HTTP requests that are calls of the schema's OperatorService. */
export function createOperatorHandler(api: OperatorApi): (req: IncomingMessage, res: ServerResponse) => void {
    return connectNodeAdapter({ routes: operatorRoutes(api), readMaxBytes: MAX_MESSAGE_BYTES });
}
