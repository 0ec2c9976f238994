/** Sends requests to the gate of another host: one request at a time on each connection, without retries. */
import type { GateCall } from "../hop/gatecall.js";
import { GateClock } from "../hop/gateclock.js";
import type { GateResponse } from "../hop/gateresponse.js";
import { Hop } from "../hop/hop.js";
import { HopError } from "../hop/hoperror.js";
import { ignoreBodyErrors } from "../http/ignorebodyerrors.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import { emptyBuffer } from "../link/emptybuffer.js";
import { isLargeBody } from "../link/islargebody.js";
import type { LinkConnection } from "../link/linkconnection.js";
import { LinkError } from "../link/linkerror.js";
import { LinkPool } from "../link/linkpool.js";
import { log } from "../log/log.js";
import { decodeReason } from "../policy/retry/decodereason.js";
import type { Reason } from "../policy/retry/reason.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import type { PeerClient } from "./peerclient.js";
import type { PeerOptions } from "./peeroptions.js";

const logger = log("peer");

/** Owns the connections to one gate, and tracks its clock. */
export class RemoteHop extends Hop {
    readonly clock = new GateClock();
    readonly #pool: LinkPool;
    /** The incarnation of the gate's daemon that has stated, in a handshake, whether it asks for bodies. */
    #knownIncarnation: Incarnation | undefined;

    constructor(
        readonly address: Address,
        private readonly peer: PeerClient,
        private readonly options: PeerOptions,
    ) {
        super();
        this.#pool = new LinkPool(address, options);
    }

    async send(call: GateCall): Promise<GateResponse> {
        const preparedAt = this.options.clock();
        if (this.#needsHandshake(call)) {
            await this.handshake();
        }
        const { status, headers, body = emptyBuffer, metadata } = await this.#request(call, preparedAt);
        if (metadata.outcome !== undefined) {
            throw new HopError(metadata.outcome, this.#reasonOf(metadata), metadata);
        }
        return { status, headers, body: Buffer.isBuffer(body) ? body : ignoreBodyErrors(body), metadata };
    }

    async revoke(head: RequestMetadata): Promise<RevokeResult> {
        const { id, remainingMs } = head;
        const { incarnation, gateTime } = head;
        if (incarnation === undefined || gateTime === undefined) {
            return "unknown";
        }
        return this.peer.revoke(this.address, { id, incarnation, gateTime, remainingMs });
    }

    async handshake(): Promise<void> {
        try {
            const askedAt = this.options.clock();
            this.#observeClock(await this.#pool.requestIdentity() ?? await this.peer.hello(this.address), askedAt);
            this.#knownIncarnation = this.clock.incarnation;
        }
        catch (err) {
            throw new HopError("not-run", "unreachable", undefined, { cause: err });
        }
    }

    async probe(timeoutMs: number): Promise<boolean> {
        const askedAt = this.options.clock();
        try {
            const metadata = await this.#pool.probe(timeoutMs);
            if (metadata !== undefined) {
                this.#observeClock(metadata, askedAt);
            }
            return true;
        }
        catch (err) {
            logger.warn("A peer did not respond to a probe over a new connection.", err, { peer: this.address });
            return false;
        }
    }

    /** Closes idle connections, which may be unresponsive. */
    closeIdle(): void {
        this.#pool.closeIdle();
    }

    async close(): Promise<void> {
        this.#pool.close();
    }

    /** The peer's clock is needed for requests that run once, and for large bodies whether it asks for them. */
    #needsHandshake({ head: { kind }, body }: GateCall): boolean {
        const { incarnation } = this.clock;
        if (incarnation === undefined) {
            return kind === "once" || isLargeBody(body);
        }
        const isKnown = this.#knownIncarnation === incarnation || this.#pool.asksForBodies(incarnation);
        return isLargeBody(body) && !isKnown;
    }

    #reasonOf({ reason: receivedReason }: ResponseMetadata): Reason {
        const reason = decodeReason(receivedReason);
        if (reason === "unknown-reason") {
            logger.warn("A peer refused a request for a reason that this daemon does not know.", receivedReason, {
                peer: this.address,
            });
        }
        return reason;
    }

    /**
     * Completes the metadata when the request is sent: with the gate's incarnation and estimated time, from which the
     * gate determines the delay, and with the remaining times, which are shorter after waiting for a connection or the
     * gate's clock. `preparedAt` is the time at which the remaining times were valid.
     */
    #completeHead(head: RequestMetadata, preparedAt: number, sentAt: number): void {
        const writableHead: { -readonly [Field in keyof RequestMetadata]: RequestMetadata[Field]; } = head;
        const elapsedMs = sentAt - preparedAt;
        writableHead.remainingMs = Math.max(0, head.remainingMs - elapsedMs);
        writableHead.maxWaitMs = Math.max(0, head.maxWaitMs - elapsedMs);
        writableHead.incarnation = this.clock.incarnation;
        writableHead.gateTime = this.clock.estimate(sentAt);
        writableHead.answersCallerChecks = true;
    }

    /** Records a reading of the gate's clock that was requested at `askedAt`. */
    #observeClock(
        { incarnation, gateTime }: Pick<ResponseMetadata, "incarnation" | "gateTime">,
        askedAt: number,
    ): void {
        this.clock.observe(incarnation, gateTime, { askedAt, now: this.options.clock() });
    }

    /** The caller may have left while a connection was opened and the process did not run. */
    async #acquire({ settleCancel }: GateCall): Promise<LinkConnection> {
        const connection = await this.#pool.acquire();
        const pendingCancel = settleCancel?.(this.options.clock());
        if (pendingCancel === undefined) {
            return connection;
        }
        await pendingCancel;
        return connection.open ? connection : await this.#pool.acquire();
    }

    /** Sends the request on an idle or new connection; throws a HopError. See `#completeHead` for `preparedAt`. */
    async #request(
        call: GateCall,
        preparedAt: number,
    ): Promise<Awaited<ReturnType<Awaited<ReturnType<LinkPool["acquire"]>>["send"]>>> {
        try {
            const connection = await this.#acquire(call);
            const sentAt = this.options.clock();
            this.#completeHead(call.head, preparedAt, sentAt);
            // A daemon of another incarnation, which may be of an older version, refuses the request.
            const isOnDemand = isLargeBody(call.body) && this.#pool.asksForBodies(call.head.incarnation);
            const response = await connection.send(call, isOnDemand);
            this.#observeClock(response.metadata, sentAt);
            return response;
        }
        catch (err) {
            const { unsent, reason } = err instanceof LinkError ? err : new LinkError("peer-broke", { cause: err });
            throw new HopError(unsent ? "not-run" : "broken", reason, undefined, { cause: err });
        }
    }
}
