/** Keeps this daemon's record in the registry. */
import { log } from "../log/log.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Member } from "../wire/member.js";
import type { Registry } from "./registry.js";

const logger = log("roster");

/** A third of the lease, in milliseconds. */
const RENEW_EVERY_MS = 3000;
/** Others rely on a watcher's contact with the store, and each renewal shows whether it has any; milliseconds. */
const RENEW_WATCHING_EVERY_MS = 2000;

/** What the publisher needs; `onTrouble` is called when the store has failed, `onSuccess` when it has answered. */
type PublisherDependencies = {
    readonly registry: Registry;
    readonly member: () => Member;
    /** Whether this daemon watches the store for others. */
    readonly isWatching: () => boolean;
    readonly onTrouble: () => void;
    readonly onSuccess: () => void;
};

/** One loop: publishes what has changed, renews what has not. */
export class RecordPublisher {
    readonly #loop: StoreLoop;
    /** The version of the record that the store has; undefined when it must be written. */
    #published: number | undefined;

    constructor(private readonly deps: PublisherDependencies) {
        this.#loop = new StoreLoop({
            step: () => this.#step(),
            failed: err => this.#failed(err),
            pauseMs: () => deps.isWatching() ? RENEW_WATCHING_EVERY_MS : RENEW_EVERY_MS,
        });
    }

    start(): void {
        this.#loop.start();
    }

    /** Publishes as soon as may be: the record has changed, or is gone. */
    publishSoon(): void {
        this.#published = undefined;
        this.#loop.wake();
    }

    /** Stops, and takes the record back if the store answers soon. */
    async stop(): Promise<void> {
        this.#loop.stop();
        try {
            await this.deps.registry.withdraw();
        }
        catch (err) {
            logger.warn("The record could not be taken back.", err);
        }
    }

    #failed(err: unknown): void {
        logger.warn("The record could not be kept.", err);
        this.deps.onTrouble();
    }

    async #step(): Promise<void> {
        const member = this.deps.member();
        if (this.#published !== member.version || !await this.deps.registry.renew()) {
            await this.#write(member);
        }
        this.deps.onSuccess();
    }

    /** Set before the call: a change that comes meanwhile must be written after it. */
    async #write(member: Member): Promise<void> {
        this.#published = member.version;
        try {
            await this.deps.registry.publish(member);
        }
        catch (err) {
            this.#published = undefined;
            throw err;
        }
    }
}
