/**
 * Collects the body of one caller's request, within the memory for bodies.
 *
 * Owns the bytes that have arrived and their reservation. A body that fits into `keepBytes` is collected whole; a longer
 * one is provided as a stream.
 */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../http/bytecollector.js";
import { drainBody } from "../http/drainbody.js";
import { ignoreBodyErrors } from "../http/ignorebodyerrors.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import type { Clock } from "../time/clock.js";
import type { BodyLimits } from "./bodylimits.js";
import type { CollectedBody } from "./collectedbody.js";
import { StreamedBody } from "./streamedbody.js";

/** Dependencies that the listener provides. */
type BodyDependencies = {
    readonly clock: Clock;
    readonly limits: BodyLimits;
    readonly memory: BodyMemory;
};

/** Starts to collect when it is created; `release` must be called when the body is not needed any more. */
export class CallerBody {
    readonly #collector: ByteCollector;
    readonly #reservation: ReturnType<BodyMemory["reserve"]>;
    readonly #collected: Promise<CollectedBody>;
    #resolve: (collected: CollectedBody) => void = () => {};

    constructor(private readonly req: IncomingMessage, private readonly deps: BodyDependencies) {
        const { limits: { keepBytes, maxBytes }, memory, clock } = deps;
        const statedBytes = Number(req.headers["content-length"] ?? 0);
        this.#collected = new Promise(resolve => this.#resolve = resolve);
        if (statedBytes > maxBytes) {
            this.#collector = new ByteCollector();
            this.#end({ type: "too-large" });
            return;
        }
        const reservedBytes = Math.min(keepBytes, statedBytes);
        this.#collector = new ByteCollector(reservedBytes);
        const unfinished = { startedAt: clock(), evict: () => this.#fail("evicted") };
        this.#reservation = memory.reserve(reservedBytes, unfinished);
        if (this.#reservation === undefined) {
            this.#fail("no-memory");
        }
        else {
            this.#start();
        }
    }

    /** The number of bytes that were collected. */
    get receivedBytes(): number {
        return this.#collector.size;
    }

    /** Resolves when the body is collected or has failed; a body that is unfinished at the deadline fails. */
    async collect(deadline: number): Promise<CollectedBody> {
        const timer = setTimeout(() => this.#fail("timeout"), deadline - this.deps.clock());
        try {
            return await this.#collected;
        }
        finally {
            clearTimeout(timer);
        }
    }

    release(): void {
        this.#reservation?.release();
    }

    #start(): void {
        const { req } = this;
        ignoreBodyErrors(req);
        req.on("data", this.#add);
        req.on("end", this.#complete);
        req.on("close", this.#abort);
        if (req.destroyed && !req.readableEnded) {
            this.#fail("incomplete");
        }
    }

    readonly #add = (chunk: Buffer): void => {
        const { limits: { maxBytes, keepBytes }, clock } = this.deps;
        const collector = this.#collector;
        collector.add(chunk);
        if (collector.size > maxBytes) {
            this.#fail("too-large");
        }
        else if (collector.size > keepBytes) {
            this.#stream(collector.bytes);
        }
        else if (!this.#reservation!.grow(collector.capacity, clock())) {
            this.#fail("no-memory");
        }
    };

    readonly #complete = (): void => {
        this.#reservation!.resize(this.#collector.capacity);
        this.#end({ type: "whole", bytes: this.#collector.bytes });
    };

    readonly #abort = (): void => this.#fail("incomplete");

    /** A streamed body takes `keepBytes` at most: what waits to be read of it is bounded. */
    #stream(firstBytes: Buffer): void {
        const { keepBytes, maxBytes } = this.deps.limits;
        if (!this.#reservation!.grow(keepBytes, this.deps.clock())) {
            this.#fail("no-memory");
            return;
        }
        this.#end({ type: "long", stream: new StreamedBody(this.req, firstBytes, maxBytes).stream });
    }

    /** Gives up the body; what still arrives of it is discarded. */
    #fail(type: Exclude<CollectedBody["type"], "whole" | "long">): void {
        this.#end({ type });
        this.release();
        drainBody(this.req);
    }

    #end(collected: CollectedBody): void {
        const { req } = this;
        req.off("data", this.#add);
        req.off("end", this.#complete);
        req.off("close", this.#abort);
        this.#reservation?.complete();
        this.#resolve(collected);
    }
}
