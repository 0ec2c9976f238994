/** Base class of the APIs through which the store stand-in is called. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { StoreDependencies } from "./storedependencies.js";

/** Maps paths and bodies to calls. The stand-in owns the data and injects the faults. */
export abstract class StoreApi {
    constructor(protected readonly deps: StoreDependencies) {}

    abstract serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void>;
}
