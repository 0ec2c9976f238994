/**
 * Follows the daemons' records at a watcher of the hall, in place of the store.
 *
 * Each watch that comes back is a call that the store charges, so a fleet in which all watch pays hosts times changes. A watcher's
 * heartbeat tells how far its list has come; what has changed since is asked for here, by a call within the hall. What that says counts
 * as the store's word.
 */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsMark } from "../wire/recordsmark.js";
import type { MemberList } from "./memberlist.js";

const logger = log("roster");

/** `ask` gets what a watcher's list has beyond a mark, or all of it. */
type FollowerDependencies = {
    readonly members: MemberList;
    readonly ask: (watcher: Address, have: RecordsMark | undefined) => Promise<RecordChanges>;
    readonly clock: Clock;
};

/** One question at a time; what a heartbeat tells meanwhile is asked for after it. */
export class RecordFollower {
    #watcher: Address | undefined;
    #have: RecordsMark | undefined;
    #wanted: RecordsMark | undefined;
    #isAsking = false;

    constructor(private readonly deps: FollowerDependencies) {}

    /** Catches up with a watcher whose list has come so far. */
    async follow(watcher: Address, wanted: RecordsMark): Promise<void> {
        if (watcher !== this.#watcher) {
            this.#watcher = watcher;
            this.#have = undefined;
            logger.change("The records are followed at a watcher.", { watcher });
        }
        this.#wanted = wanted;
        if (this.#isAsking) {
            return;
        }
        this.#isAsking = true;
        try {
            while (this.#isBehind()) {
                await this.#ask(this.#watcher!);
            }
        }
        catch (err) {
            logger.warn("The watcher did not return its records; its next heartbeat is waited for.", err, { watcher });
        }
        finally {
            this.#isAsking = false;
        }
    }

    #isBehind(): boolean {
        const [have, wanted] = [this.#have, this.#wanted];
        return wanted !== undefined && (have?.life !== wanted.life || have.at < wanted.at);
    }

    /** What was wanted may be of a life of the watcher that has ended: its answer is the newest there is. */
    async #ask(watcher: Address): Promise<void> {
        const changes = await this.deps.ask(watcher, this.#have);
        if (watcher !== this.#watcher) {
            return;
        }
        this.#have = changes.mark;
        if (this.#wanted?.life !== changes.mark.life) {
            this.#wanted = changes.mark;
        }
        this.#apply(changes);
    }

    #apply({ complete, members, gone }: RecordChanges): void {
        const { members: known, clock } = this.deps;
        const now = clock();
        known.inOne(() => {
            members.forEach(member => known.record(member, "store", now));
            gone.forEach(gate => known.recordGone(gate, now));
            if (complete) {
                const listed = new Set(members.map(member => member.gate));
                known.members.filter(({ gate }) => !listed.has(gate)).forEach(({ gate }) =>
                    known.recordGone(gate, now)
                );
            }
        });
    }
}
