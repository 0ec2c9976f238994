/** One form in which the stand-in of a store is called. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { StoreDependencies } from "./storedependencies.js";

/** Knows paths and bodies; the data, and what is done to calls, are the stand-in's. */
export abstract class StoreApi {
    constructor(protected readonly deps: StoreDependencies) {}

    abstract serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void>;
}
