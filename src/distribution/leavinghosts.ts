/** Which hosts are leaving, by the platform's list; a watcher reads it for its whole hall. */
import type { HostName } from "../ids/hostname.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";

const logger = log("config");

/** Holds the last answer; an old one is better than none, since a host on the list only leaves. */
export class LeavingHosts {
    #leaving: HostName[] = [];
    #asking = false;

    constructor(private readonly store: Store) {}

    get names(): readonly HostName[] {
        return this.#leaving;
    }

    /** Asks once, unless an answer is still awaited. */
    async refresh(): Promise<void> {
        if (this.#asking) {
            return;
        }
        this.#asking = true;
        try {
            const hosts = await this.store.hosts();
            this.#leaving = hosts.filter(host => host.state === "leaving").map(host => host.name);
        }
        catch (err) {
            logger.warn("The platform's list of hosts could not be read; it is read again in the next round.", err);
        }
        finally {
            this.#asking = false;
        }
    }
}
