/**
 * Gets the changes of the daemons' records from a watcher of the hall instead of the store.
 *
 * The store charges for each watch that returns. If all daemons watched it, the cost would be the number of hosts times
 * the number of changes. A watcher's heartbeat carries the position of its list; this module requests the changes up to
 * that position with a call within the hall. Records in the response count as records of the store.
 */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { MemberList } from "./memberlist.js";

const logger = log("roster");

type FollowerDependencies = {
    readonly memberList: MemberList;
    /** Requests the changes of a watcher's list after a position, or the whole list if there is none. */
    readonly fetch: (watcher: Address, after: RecordsPosition | undefined) => Promise<RecordChanges>;
    readonly clock: Clock;
};

/** Sends one request at a time; a position that arrives in the meantime is fetched afterwards. */
export class RecordFollower {
    #watcher: Address | undefined;
    #appliedPosition: RecordsPosition | undefined;
    #targetPosition: RecordsPosition | undefined;
    #isFetching = false;

    constructor(private readonly deps: FollowerDependencies) {}

    /** Catches up with a watcher whose list is at the position `target`. */
    async follow(watcher: Address, target: RecordsPosition): Promise<void> {
        if (watcher !== this.#watcher) {
            this.#watcher = watcher;
            this.#appliedPosition = undefined;
            logger.change("This daemon gets the records from a watcher of its hall.", { watcher });
        }
        this.#targetPosition = target;
        if (this.#isFetching) {
            return;
        }
        this.#isFetching = true;
        try {
            let isAdvancing = true;
            while (this.#isBehind() && isAdvancing) {
                isAdvancing = await this.#fetchOnce(this.#watcher!);
            }
        }
        catch (err) {
            logger.warn("The watcher did not return its records; its next heartbeat starts another request.", err, {
                watcher,
            });
        }
        finally {
            this.#isFetching = false;
        }
    }

    #isBehind(): boolean {
        const [applied, target] = [this.#appliedPosition, this.#targetPosition];
        return target !== undefined && (applied?.life !== target.life || applied.at < target.at);
    }

    /**
     * Replaces a target of another incarnation by the position in the response, since that incarnation of the watcher has
     * ended. Resolves with false if the response is at the position that was applied before: another request would get
     * the same, and the watcher's next heartbeat starts one.
     */
    async #fetchOnce(watcher: Address): Promise<boolean> {
        const applied = this.#appliedPosition;
        const changes = await this.deps.fetch(watcher, applied);
        if (watcher !== this.#watcher) {
            return true;
        }
        this.#appliedPosition = changes.mark;
        if (this.#targetPosition?.life !== changes.mark.life) {
            this.#targetPosition = changes.mark;
        }
        this.#apply(changes);
        return applied?.life !== changes.mark.life || applied.at < changes.mark.at;
    }

    #apply({ complete, members, gone }: RecordChanges): void {
        const { memberList, clock } = this.deps;
        const now = clock();
        memberList.batch(() => {
            members.forEach(member => memberList.record(member, "store", now));
            gone.forEach(gate => memberList.recordRemoteRemoval(gate, now));
            if (complete) {
                const listedGates = new Set(members.map(member => member.gate));
                memberList.members.filter(({ gate }) => !listedGates.has(gate)).forEach(({ gate }) =>
                    memberList.recordRemoteRemoval(gate, now)
                );
            }
        });
    }
}
