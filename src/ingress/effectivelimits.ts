/** Determines the limits on callers that apply at present: the operators' limits, or the daemon's where they set none. */
import type { CallerLimits } from "../config/callerlimits.js";
import type { DiscardLimits } from "./discardlimits.js";
import type { IngressLimits } from "./ingresslimits.js";

/** A chunk of one byte takes six bytes with its framing (RFC 9112, 7.1); longer ones take relatively fewer. */
const MAX_FRAMING_FACTOR = 6;

/** Sizes are in bytes, times in milliseconds. */
export class EffectiveLimits {
    #callerLimits: CallerLimits = {};

    constructor(private readonly limits: IngressLimits) {}

    /** Replaces the operators' limits. */
    apply(callerLimits: CallerLimits): void {
        this.#callerLimits = callerLimits;
    }

    get headerBytes(): number {
        return this.#callerLimits.headerBytes ?? this.limits.headerBytes;
    }

    get headersTimeoutMs(): number {
        return this.#callerLimits.headersTimeoutMs ?? this.limits.headersTimeoutMs;
    }

    get keepAliveMs(): number {
        return this.#callerLimits.keepAliveMs ?? this.limits.keepAliveMs;
    }

    /** Limits of bodies: those up to `keepBytes` are kept, those above `maxBytes` are refused. */
    get body(): { readonly keepBytes: number; readonly maxBytes: number; } {
        return { keepBytes: this.limits.keepBytes, maxBytes: this.#callerLimits.bodyBytes ?? this.limits.bodyBytes };
    }

    /** Limits on the rest of a body whose request has been answered. */
    get discard(): DiscardLimits {
        return { maxBytes: MAX_FRAMING_FACTOR * this.body.maxBytes, timeoutMs: this.limits.discardTimeoutMs };
    }
}
