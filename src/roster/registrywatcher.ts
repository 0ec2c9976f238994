/** Follows the records of all daemons. */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import { HistoryError } from "../store/historyerror.js";
import { Backoff } from "../time/backoff.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { Registry } from "./registry.js";
import type { RegistryEvent } from "./registryevent.js";
import type { Roster } from "./roster.js";

const logger = log("roster");

/** Changes often come many at once, and each watch is a call that costs. */
const GATHER_MS = 250;

/** What the watcher needs; `onOwnGone` hears that this daemon's own record is gone. */
type WatcherParts = {
    readonly self: Address;
    readonly registry: Registry;
    readonly roster: Roster;
    readonly clock: Clock;
    readonly onOwnGone: () => void;
};

/** One loop: reads all records, then what changes. */
export class RegistryWatcher {
    readonly #stopped = new AbortController();
    #current = new AbortController();
    #at: number | undefined;

    constructor(private readonly parts: WatcherParts) {}

    start(): void {
        void this.#run();
    }

    stop(): void {
        this.#stopped.abort();
        this.#current.abort();
    }

    /** Watches anew: what waits may wait on a connection that says nothing any more. */
    renew(): void {
        this.#current.abort();
    }

    async #run(): Promise<void> {
        const backoff = new Backoff();
        while (!this.#stopped.signal.aborted) {
            this.#current = new AbortController();
            try {
                await this.#step(this.#current.signal);
                backoff.reset();
                await sleep(GATHER_MS, this.#stopped.signal);
            }
            catch (err) {
                if (err instanceof HistoryError) {
                    this.#at = undefined;
                    continue;
                }
                logger.trouble("The records could not be followed.", err);
                await sleep(backoff.next(), this.#stopped.signal);
            }
        }
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#at === undefined) {
            await this.#readAll();
            return;
        }
        const { events, at } = await this.parts.registry.watch(this.#at, signal);
        events.forEach(event => this.#take(event));
        this.#at = at;
    }

    async #readAll(): Promise<void> {
        const { roster, clock } = this.parts;
        const { members, at } = await this.parts.registry.list();
        const now = clock();
        const listed = new Set(members.map(member => member.gate));
        members.forEach(member => roster.take(member, "store", now));
        roster.members.filter(member => !listed.has(member.gate)).forEach(member => roster.lapse(member.gate, now));
        this.#at = at;
    }

    #take(event: RegistryEvent): void {
        const { roster, clock, self, onOwnGone } = this.parts;
        if (event.type === "written") {
            roster.take(event.member, "store", clock());
            return;
        }
        if (event.gate === self) {
            onOwnGone();
            return;
        }
        roster.lapse(event.gate, clock());
    }
}
