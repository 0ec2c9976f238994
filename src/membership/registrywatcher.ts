/** Reads and watches the records of all daemons in the store. */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { HistoryUnavailableError } from "../store/historyunavailableerror.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { Member } from "../wire/member.js";
import type { MemberList } from "./memberlist.js";
import type { Registry } from "./registry.js";
import type { RegistryEvent } from "./registryevent.js";
import type { RegistryList } from "./registrylist.js";

const logger = log("roster");

/** The pause before the next watch: changes often come in groups, and the store charges for each watch that returns. */
const BATCH_DELAY_MS = 250;

/**
 * Number of times that a daemon which knows no other member reads the stale list again before it watches the store.
 * Each read costs a tenth of a call.
 */
const REREAD_COUNT = 3;
/** All these reads end before a daemon that knows no other member starts to watch (daemon/membershipgroup.ts). */
const REREAD_INTERVAL_MS = 1000;

type WatcherDependencies = {
    readonly self: Address;
    readonly registry: Registry;
    readonly memberList: MemberList;
    readonly clock: Clock;
    /** Called if this daemon's own record is gone from the store. */
    readonly onOwnUnregistered: () => void;
    /** Called with this daemon's own record if a list contains it; it may be of an earlier incarnation. */
    readonly onOwnRecord: (member: Member) => void;
    /** Called with the crash records of quarantined requests in the store. */
    readonly onCrashRecords: (records: readonly CrashRecord[]) => void;
};

/** Reads the stale list at the start; while this daemon is a watcher, reads the newest list and watches its changes. */
export class RegistryWatcher {
    readonly #loop: StoreLoop;
    /**
     * The position in the store's history up to which changes were applied; undefined if the list must be read again.
     */
    #watchedUpTo: number | undefined;

    constructor(private readonly deps: WatcherDependencies) {
        this.#loop = new StoreLoop({
            step: signal => this.#step(signal),
            onFailure: err =>
                logger.warn(
                    "The records in the store could not be read or watched; the next attempt follows after a backoff.",
                    err,
                ),
            pauseMs: () => BATCH_DELAY_MS,
        });
    }

    /** True while this daemon watches the store and has read the newest list. */
    get isSynchronized(): boolean {
        return this.#loop.isRunning && this.#watchedUpTo !== undefined;
    }

    /** Starts or stops the watch. */
    setWatching(isWatching: boolean): void {
        if (isWatching) {
            this.#loop.start();
        }
        else {
            this.#loop.stop();
        }
    }

    /** Starts the present watch again, since it may be waiting on an unresponsive connection. */
    restart(): void {
        this.#loop.abortStep();
    }

    /**
     * Reads the stale list at the start, which costs a tenth of a call. Its records may be seconds old, but are enough
     * to find a watcher of the hall, which sends the rest. Resolves when the store has responded or failed.
     */
    async readStale(): Promise<void> {
        try {
            this.#applyList(await this.deps.registry.list("stale"), false);
        }
        catch (err) {
            logger.warn(
                "The records in the store could not be read at the start; other members may be missing from the list.",
                err,
            );
        }
    }

    /**
     * Reads the stale list a few more times: if no other member was known, others may have started at the same moment.
     */
    async rereadStale(): Promise<void> {
        for (let read = 0; read < REREAD_COUNT; read++) {
            await sleep(REREAD_INTERVAL_MS);
            await this.readStale();
        }
    }

    async #step(signal: AbortSignal): Promise<void> {
        if (this.#watchedUpTo === undefined || !await this.#watch(this.#watchedUpTo, signal)) {
            this.#watchedUpTo = undefined;
            const list = await this.deps.registry.list("newest");
            this.#applyList(list, true);
            this.#watchedUpTo = list.at;
        }
    }

    /** Applies the next changes; resolves with false if the store no longer has the changes after `after`. */
    async #watch(after: number, signal: AbortSignal): Promise<boolean> {
        try {
            const { events, at } = await this.deps.registry.watch(after, signal);
            this.deps.memberList.batch(() => events.forEach(event => this.#applyEvent(event)));
            this.#watchedUpTo = at;
            return true;
        }
        catch (err) {
            if (err instanceof HistoryUnavailableError) {
                return false;
            }
            throw err;
        }
    }

    /** Applies a list of all records; a member that the newest list lacks is no longer registered. */
    #applyList({ members, crashes }: RegistryList, isLatest: boolean): void {
        const { memberList, clock, self, onOwnRecord, onCrashRecords } = this.deps;
        onCrashRecords(crashes);
        const now = clock();
        const ownRecord = members.find(member => member.gate === self);
        if (ownRecord !== undefined) {
            onOwnRecord(ownRecord);
        }
        memberList.batch(() => {
            members.forEach(member => memberList.record(member, "store", now));
            if (isLatest) {
                const listedGates = new Set(members.map(member => member.gate));
                memberList.members.filter(({ gate }) => !listedGates.has(gate)).forEach(({ gate }) =>
                    memberList.recordUnregistered(gate, now)
                );
            }
        });
    }

    #applyEvent(event: RegistryEvent): void {
        const { memberList, clock, self, onOwnUnregistered, onCrashRecords } = this.deps;
        if (event.type === "crashes") {
            onCrashRecords([event.record]);
            return;
        }
        if (event.type === "written") {
            memberList.record(event.member, "store", clock());
            return;
        }
        if (event.gate === self) {
            onOwnUnregistered();
            return;
        }
        memberList.recordUnregistered(event.gate, clock());
    }
}
