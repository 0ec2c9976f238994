/**
 * Stores what upstreams have stated in responses that this daemon relayed: a rate limit, or that they leave
 * permanently.
 *
 * A statement is kept when the upstream is removed from the upstream table and when the daemon at the upstream
 * restarts. That daemon loses the statement and gets it back from the ingresses that send requests to it. Times are
 * milliseconds on the gate's clock.
 */
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";

/** Bounds memory. The upstreams with the latest statements are kept; upstreams without a statement have no entry. */
const MAX_UPSTREAMS = 1024;

/** `incarnation` is the gate's; `writtenAt` is when the gate wrote the metadata. */
type Statement = {
    readonly limitPerSecond: number | undefined;
    readonly isLeavingPermanently: boolean;
    readonly incarnation: Incarnation;
    readonly writtenAt: number;
};

type StatementMetadata = Pick<ResponseMetadata, "limitPerSecond" | "ending" | "incarnation" | "gateTime">;

/** Holds the statements of all upstreams that one daemon sends to. */
export class UpstreamStatements {
    readonly #byName = new Map<UpstreamName, Statement>();

    /**
     * Returns the stated rate limit in requests per second, or undefined if the upstream states none or has revoked it.
     */
    limitPerSecond(upstream: UpstreamName): number | undefined {
        return this.#byName.get(upstream)?.limitPerSecond;
    }

    /** Returns true if the upstream has stated that it leaves permanently. */
    isLeavingPermanently(upstream: UpstreamName): boolean {
        return this.#byName.get(upstream)?.isLeavingPermanently === true;
    }

    /** Records the metadata of an upstream's response; metadata without a statement revokes a stated rate limit. */
    recordResponse(upstream: UpstreamName, metadata: StatementMetadata): void {
        const known = this.#byName.get(upstream);
        if (this.#hasStatement(metadata)) {
            this.#record(upstream, metadata);
        }
        else if (known !== undefined && !known.isLeavingPermanently && !this.#isOlder(metadata, known)) {
            this.#byName.delete(upstream);
        }
    }

    /**
     * Records the metadata of a gate's own refusal. Metadata without a statement revokes nothing, since a gate that has
     * just started does not know the upstream's statements.
     */
    recordRefusal(upstream: UpstreamName, metadata: StatementMetadata): void {
        if (this.#hasStatement(metadata)) {
            this.#record(upstream, metadata);
        }
    }

    #hasStatement({ limitPerSecond, ending }: StatementMetadata): boolean {
        return limitPerSecond !== undefined || ending === true;
    }

    #isOlder({ incarnation, gateTime }: StatementMetadata, known: Statement): boolean {
        return incarnation === known.incarnation && gateTime < known.writtenAt;
    }

    #record(upstream: UpstreamName, metadata: StatementMetadata): void {
        const known = this.#byName.get(upstream);
        const { limitPerSecond, incarnation, gateTime: writtenAt } = metadata;
        const isLeavingPermanently = metadata.ending === true || known?.isLeavingPermanently === true;
        this.#byName.delete(upstream);
        this.#byName.set(upstream, { limitPerSecond, isLeavingPermanently, incarnation, writtenAt });
        if (this.#byName.size > MAX_UPSTREAMS) {
            this.#byName.delete(this.#byName.keys().next().value!);
        }
    }
}
