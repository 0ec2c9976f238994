/** The watch of a daemon that knows the others from the configuration alone. */
import type { DocumentWatcher } from "./documentwatcher.js";
import { StoreWatch } from "./storewatch.js";
import type { WatchScope } from "./watchscope.js";

/** The watch of the configuration; there are no records. */
export class ConfigurationWatch extends StoreWatch {
    readonly records = undefined;

    constructor(private readonly watcher: DocumentWatcher) {
        super();
    }

    get scope(): WatchScope {
        return this.watcher.watching ? "all" : "nothing";
    }

    set(scope: WatchScope): void {
        this.watcher.set(scope !== "nothing");
    }

    /** Nothing but the watch itself would tell. */
    isReached(): boolean {
        return true;
    }

    follow(): void {
        // The configuration names the upstreams: there is nothing to catch up with.
    }
}
