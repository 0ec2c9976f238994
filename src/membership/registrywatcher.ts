/** Follows the records of all daemons. */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import { HistoryError } from "../store/historyerror.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Clock } from "../time/clock.js";
import type { Member } from "../wire/member.js";
import type { MemberList } from "./memberlist.js";
import type { Registry } from "./registry.js";
import type { RegistryEvent } from "./registryevent.js";

const logger = log("roster");

/** Changes often come many at once, and each watch is a call that costs; milliseconds, chosen. */
const GATHER_MS = 250;

/** What the watcher needs; `onOwnGone` is called when this daemon's own record is gone, `onOwn` with one that is found. */
type WatcherParts = {
    readonly self: Address;
    readonly registry: Registry;
    readonly members: MemberList;
    readonly clock: Clock;
    readonly onOwnGone: () => void;
    readonly onOwn: (member: Member) => void;
};

/** One loop: reads all records, then what changes. */
export class RegistryWatcher {
    readonly #loop: StoreLoop;
    /** Resolves when the records have been read for the first time, or could not be. */
    readonly begun: Promise<void>;
    #begin: () => void = () => {};
    #at: number | undefined;

    constructor(private readonly parts: WatcherParts) {
        this.begun = new Promise(resolve => this.#begin = resolve);
        this.#loop = new StoreLoop({
            step: signal => this.#step(signal),
            failed: err => logger.warn("The records could not be followed.", err),
            pauseMs: GATHER_MS,
        });
    }

    start(): void {
        this.#loop.start();
    }

    stop(): void {
        this.#loop.stop();
    }

    /** Watches anew: what waits may wait on a connection that carries nothing any more. */
    renew(): void {
        this.#loop.renew();
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#at === undefined || !await this.#watch(this.#at, signal)) {
            this.#at = undefined;
            await this.#readAll().finally(() => this.#begin());
        }
    }

    /** False when the changes after `after` are no longer kept. */
    async #watch(after: number, signal: AbortSignal): Promise<boolean> {
        try {
            const { events, at } = await this.parts.registry.watch(after, signal);
            events.forEach(event => this.#apply(event));
            this.#at = at;
            return true;
        }
        catch (err) {
            if (err instanceof HistoryError) {
                return false;
            }
            throw err;
        }
    }

    async #readAll(): Promise<void> {
        const { members: known, clock } = this.parts;
        const { members, at } = await this.parts.registry.list();
        const now = clock();
        const own = members.find(member => member.gate === this.parts.self);
        if (own !== undefined) {
            this.parts.onOwn(own);
        }
        const listed = new Set(members.map(member => member.gate));
        members.forEach(member => known.record(member, "store", now));
        known.members.filter(member => !listed.has(member.gate)).forEach(member => known.recordLapse(member.gate, now));
        this.#at = at;
    }

    #apply(event: RegistryEvent): void {
        const { members, clock, self, onOwnGone } = this.parts;
        if (event.type === "written") {
            members.record(event.member, "store", clock());
            return;
        }
        if (event.gate === self) {
            onOwnGone();
            return;
        }
        members.recordLapse(event.gate, clock());
    }
}
