/** Reads from the platform's host list which hosts are leaving; a watcher does so for its whole hall. */
import type { HostName } from "../ids/hostname.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";

const logger = log("config");

/** Keeps the last list that was read. A stale list is better than none, because a leaving host does not return. */
export class LeavingHosts {
    #names: HostName[] = [];
    #isRefreshing = false;

    constructor(private readonly store: Store) {}

    /** Names of the hosts that were leaving at the last successful read. */
    get names(): readonly HostName[] {
        return this.#names;
    }

    /** Reads the list, unless a read is already in progress. */
    async refresh(): Promise<void> {
        if (this.#isRefreshing) {
            return;
        }
        this.#isRefreshing = true;
        try {
            const hosts = await this.store.hosts();
            this.#names = hosts.filter(host => host.state === "leaving").map(host => host.name);
        }
        catch (err) {
            logger.warn(
                "The platform's host list could not be read; the previous one stays in use until the next read.",
                err,
            );
        }
        finally {
            this.#isRefreshing = false;
        }
    }
}
