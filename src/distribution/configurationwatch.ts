/** The store watch of a daemon that learns of the other daemons from the configuration only. */
import type { DocumentWatcher } from "./documentwatcher.js";
import { StoreWatch } from "./storewatch.js";
import type { WatchScope } from "./watchscope.js";

/** Watches the configuration; there are no records of daemons to watch or to follow. */
export class ConfigurationWatch extends StoreWatch {
    readonly records = undefined;

    constructor(private readonly watcher: DocumentWatcher) {
        super();
    }

    get scope(): WatchScope {
        return this.watcher.isWatching ? "all" : "nothing";
    }

    setScope(scope: WatchScope): void {
        this.watcher.setWatching(scope !== "nothing");
    }

    /** Returns true always: apart from the watch itself, nothing shows whether the store responds. */
    isStoreReachable(): boolean {
        return true;
    }

    follow(): void {
        // The configuration names the upstreams, so there are no records to pull.
    }
}
