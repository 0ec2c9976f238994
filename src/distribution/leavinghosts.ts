/** Asks the platform which hosts are leaving, for the whole hall. */
import type { HostName } from "../ids/hostname.js";
import type { Store } from "../store/store.js";

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
        catch {
            // The list is a hint; the next round asks again.
        }
        finally {
            this.#asking = false;
        }
    }
}
