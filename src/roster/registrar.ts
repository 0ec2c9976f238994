/** Keeps this daemon's record in the registry. */
import { log } from "../log/log.js";
import { StoreError } from "../store/storeerror.js";
import { Backoff } from "../time/backoff.js";
import { sleep } from "../time/sleep.js";
import type { Member } from "./member.js";
import type { Registry } from "./registry.js";

const logger = log("roster");

const RENEW_EVERY_MS = 2000;

/** What the registrar needs; `onTrouble` hears that the store has failed, `onSuccess` that it has answered. */
type RegistrarParts = {
    readonly registry: Registry;
    readonly member: () => Member;
    readonly onTrouble: () => void;
    readonly onSuccess: () => void;
};

/** One loop: publishes what has changed, renews what has not. */
export class Registrar {
    readonly #stopped = new AbortController();
    #published = -1;
    #wake = new AbortController();

    constructor(private readonly parts: RegistrarParts) {}

    start(): void {
        void this.#run();
    }

    /** Publishes as soon as may be: the record has changed, or is gone. */
    publish(): void {
        this.#published = -1;
        this.#wake.abort();
    }

    /** Stops, and takes the record back if the store answers soon. */
    async stop(): Promise<void> {
        this.#stopped.abort();
        this.#wake.abort();
        try {
            await this.parts.registry.withdraw();
        }
        catch (err) {
            logger.trouble("The record could not be taken back.", err);
        }
    }

    async #run(): Promise<void> {
        const backoff = new Backoff();
        while (!this.#stopped.signal.aborted) {
            try {
                await this.#step();
                backoff.reset();
                this.parts.onSuccess();
                await this.#pause(RENEW_EVERY_MS);
            }
            catch (err) {
                if (!(err instanceof StoreError)) {
                    throw err;
                }
                logger.trouble("The record could not be kept.", err);
                this.parts.onTrouble();
                await sleep(backoff.next(), this.#stopped.signal);
            }
        }
    }

    async #step(): Promise<void> {
        const member = this.parts.member();
        if (this.#published === member.version && await this.parts.registry.renew()) {
            return;
        }
        this.#published = member.version;
        try {
            await this.parts.registry.publish(member);
        }
        catch (err) {
            this.#published = -1;
            throw err;
        }
    }

    async #pause(ms: number): Promise<void> {
        await sleep(this.#published < 0 ? 0 : ms, this.#wake.signal);
        this.#wake = new AbortController();
    }
}
