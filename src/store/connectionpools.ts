/**
 * The connections of a client to a store.
 *
 * Watches have connections of their own. A call then reuses an idle connection that is older than the pending watches,
 * and so detects when all open connections have become unresponsive.
 */
import { log } from "../log/log.js";
import { StoreConnections } from "./storeconnections.js";

const logger = log("connections");

/** Opened together, and replaced together when they have become unresponsive. */
export class ConnectionPools {
    readonly calls: StoreConnections;
    readonly watches: StoreConnections;

    constructor(options: ConstructorParameters<typeof StoreConnections>[0]) {
        this.calls = new StoreConnections(options);
        this.watches = new StoreConnections(options);
    }

    /** Closes the connections in the background after the calls in progress. */
    closeAfterCalls(): void {
        Promise.all([this.calls.close(), this.watches.close()]).catch((err: unknown) =>
            logger.warn("Closing the old connections to the store failed.", err)
        );
    }

    /** Closes the connections at once; calls in progress fail. */
    async destroy(): Promise<void> {
        await Promise.all([this.calls.destroy(), this.watches.destroy()]);
    }
}
