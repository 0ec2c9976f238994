/** Follows the records of all daemons in the store. */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { HistoryError } from "../store/historyerror.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { Member } from "../wire/member.js";
import type { MemberList } from "./memberlist.js";
import type { Registry } from "./registry.js";
import type { RegistryEvent } from "./registryevent.js";
import type { RegistryList } from "./registrylist.js";

const logger = log("roster");

/** Changes often come many at once, and each watch is a call that costs; milliseconds. */
const GATHER_MS = 250;

/** How often one that knew nobody looks for others, at a tenth of a call each, before it watches the store by itself. */
const ALONE_LOOKS = 3;
/** Milliseconds; all looks are over before a daemon that knows nobody watches (daemon/membershipgroup.ts). */
const ALONE_LOOK_EVERY_MS = 1000;

/** What the watcher needs; `onOwnGone` is called when this daemon's own record is gone, `onOwn` with one that is found. */
type WatcherDependencies = {
    readonly self: Address;
    readonly registry: Registry;
    readonly members: MemberList;
    readonly clock: Clock;
    readonly onOwnGone: () => void;
    readonly onOwn: (member: Member) => void;
    /** Told of what the store keeps of quarantined requests. */
    readonly onCrashRecords: (records: readonly CrashRecord[]) => void;
};

/** Reads all records once; then, while it is this daemon's turn, all records and what changes. */
export class RegistryWatcher {
    readonly #loop: StoreLoop;
    #at: number | undefined;

    constructor(private readonly deps: WatcherDependencies) {
        this.#loop = new StoreLoop({
            step: signal => this.#step(signal),
            failed: err => logger.warn("The records could not be followed.", err),
            pauseMs: () => GATHER_MS,
        });
    }

    /** True when the list of daemons is the store's, as far as it has answered. */
    get isFollowing(): boolean {
        return this.#loop.running && this.#at !== undefined;
    }

    /** Starts or ends the watch. */
    set(watch: boolean): void {
        if (watch) {
            this.#loop.start();
        }
        else {
            this.#loop.stop();
        }
    }

    /** Watches anew: what waits may wait on a connection that carries nothing any more. */
    renew(): void {
        this.#loop.renew();
    }

    /**
     * Reads what the store has at a start, maybe seconds old, for a tenth of a call: who was there before is enough to find a watcher of
     * the hall, which tells the rest. Resolves when the store has answered or failed.
     */
    async readOld(): Promise<void> {
        try {
            this.#applyAll(await this.deps.registry.list("stale"), false);
        }
        catch (err) {
            logger.warn("The records could not be read at the start.", err);
        }
    }

    /** Reads the same a few times more: where nobody was known at the start, others may have started at the same moment. */
    async lookAgain(): Promise<void> {
        for (let look = 0; look < ALONE_LOOKS; look++) {
            await sleep(ALONE_LOOK_EVERY_MS);
            await this.readOld();
        }
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#at === undefined || !await this.#watch(this.#at, signal)) {
            this.#at = undefined;
            const list = await this.deps.registry.list("newest");
            this.#applyAll(list, true);
            this.#at = list.at;
        }
    }

    /** False when the changes after `after` are no longer kept. */
    async #watch(after: number, signal: AbortSignal): Promise<boolean> {
        try {
            const { events, at } = await this.deps.registry.watch(after, signal);
            this.deps.members.inOne(() => events.forEach(event => this.#apply(event)));
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

    /** A member that is not among the newest has no record any more. */
    #applyAll({ members, crashes }: RegistryList, areNewest: boolean): void {
        const { members: known, clock, self, onOwn, onCrashRecords } = this.deps;
        onCrashRecords(crashes);
        const now = clock();
        const own = members.find(member => member.gate === self);
        if (own !== undefined) {
            onOwn(own);
        }
        known.inOne(() => {
            members.forEach(member => known.record(member, "store", now));
            if (areNewest) {
                const listed = new Set(members.map(member => member.gate));
                known.members.filter(({ gate }) => !listed.has(gate)).forEach(({ gate }) =>
                    known.recordLapse(gate, now)
                );
            }
        });
    }

    #apply(event: RegistryEvent): void {
        const { members, clock, self, onOwnGone, onCrashRecords } = this.deps;
        if (event.type === "crashes") {
            onCrashRecords([event.record]);
            return;
        }
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
